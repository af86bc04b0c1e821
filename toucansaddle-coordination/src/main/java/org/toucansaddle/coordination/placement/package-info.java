/** Placement of requests on the upstreams of a pool by one place that knows all of its slots. */
package org.toucansaddle.coordination.placement;
