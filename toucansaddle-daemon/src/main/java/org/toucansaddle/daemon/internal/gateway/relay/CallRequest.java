package org.toucansaddle.daemon.internal.gateway.relay;

import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.internal.gateway.routing.RoutingView;

/**
 * A request that was read completely, and what the configuration says of it. Immutable.
 *
 * @param view configuration that holds for the whole call
 * @param account client account; empty if the request has none
 * @param body content; not modified
 */
record CallRequest(RequestHead head, Route route, RoutingView view, String account, byte[] body) {}
