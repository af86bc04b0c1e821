/** Placement of requests by a control daemon, which grants the slots of engines to all routers. */
package org.toucansaddle.daemon.internal.gateway.placement;
