/** Placement of models on upstreams: pool reports, planning, and placement orders. */
package org.toucansaddle.daemon.internal.placement;
