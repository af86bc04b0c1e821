/** State of a router: configuration, upstreams, their load and health, and account usage. */
package org.toucansaddle.daemon.internal.gateway.routing;
