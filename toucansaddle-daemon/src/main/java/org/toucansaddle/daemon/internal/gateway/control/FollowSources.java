package org.toucansaddle.daemon.internal.gateway.control;

import java.util.List;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/**
 * What a control daemon tells the routers of the replicated state. Immutable.
 *
 * @param state supplies the state that this daemon applied last
 * @param self peer address of this daemon
 * @param controlAddresses supplies the peer addresses of the control daemons
 * @param coldRates requests a second that a cold upstream of a service takes; 0 if none is ever
 *     cold
 */
public record FollowSources(
    Supplier<FleetState> state,
    String self,
    Supplier<List<String>> controlAddresses,
    ToDoubleFunction<String> coldRates) {}
