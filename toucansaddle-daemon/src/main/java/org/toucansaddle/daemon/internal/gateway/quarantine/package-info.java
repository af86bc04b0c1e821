/** Quarantine of requests that crash upstreams, shared by all daemons of a gateway. */
package org.toucansaddle.daemon.internal.gateway.quarantine;
