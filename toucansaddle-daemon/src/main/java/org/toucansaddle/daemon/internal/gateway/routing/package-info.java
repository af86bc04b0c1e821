/** What a router knows: configuration, upstreams and their load. */
package org.toucansaddle.daemon.internal.gateway.routing;
