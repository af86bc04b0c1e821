/** Relays requests of callers to upstreams and streams the responses back. */
package org.toucansaddle.daemon.internal.gateway.relay;
