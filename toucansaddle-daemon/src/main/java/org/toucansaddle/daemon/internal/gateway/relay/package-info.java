/** The way of a request through a router, from its caller to upstreams and back. */
package org.toucansaddle.daemon.internal.gateway.relay;
