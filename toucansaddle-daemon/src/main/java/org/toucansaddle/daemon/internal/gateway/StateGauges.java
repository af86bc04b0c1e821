package org.toucansaddle.daemon.internal.gateway;

import org.toucansaddle.daemon.internal.gateway.relay.RelayMetrics;
import org.toucansaddle.daemon.internal.gateway.routing.RouterState;

/** Gauges of what a router knows of the fleet. Stateless and thread-safe. */
final class StateGauges {

  private StateGauges() {}

  /** Adds the gauges of a router's state. */
  static void register(RelayMetrics metrics, RouterState state) {
    metrics.registerGauge(
        "toucansaddle_gateway_configuration", "Version in force.", state::version);
    metrics.registerGauge(
        "toucansaddle_gateway_quarantined",
        "Requests, by digest, that this router refuses because they crash upstreams.",
        state.quarantine()::quarantinedCount);
    metrics.registerGauge(
        "toucansaddle_gateway_suspected_parts",
        "Parts of prompts that are suspected to crash upstreams.",
        state.quarantine()::suspectedPartCount);
    metrics.registerGauge(
        "toucansaddle_gateway_limited_upstreams",
        "Upstreams that say how many requests a second they take.",
        state::limitedUpstreams);
    metrics.registerGauge(
        "toucansaddle_gateway_load_reporting_upstreams",
        "Upstreams that have reported their load in a response lately.",
        state::loadReportingUpstreams);
    metrics.registerGauge(
        "toucansaddle_gateway_zones_out_of_service",
        "Availability zones whose upstreams get nothing, as operators ordered.",
        () -> state.zonesOutOfService().outOfService().size());
    metrics.registerGauge(
        "toucansaddle_gateway_cold_upstreams",
        "Upstreams that get only permitted requests since they are cold.",
        state::coldUpstreams);
    metrics.registerGauge(
        "toucansaddle_gateway_cold_requests",
        "Requests sent to cold upstreams since the start.",
        state.coldStart()::usedPermits);
    metrics.registerGauge(
        "toucansaddle_gateway_cold_withheld",
        "Requests not sent to cold upstreams since the start, though selected.",
        state.coldStart()::withheldRequests);
    metrics.registerGauge(
        "toucansaddle_gateway_paced_upstreams",
        "Upstreams that have started or recovered and get requests at their pace.",
        state.paced()::count);
    metrics.registerGauge(
        "toucansaddle_gateway_pace_passed_over",
        "Times that an upstream was passed over for its pace since the start.",
        state.paced()::passedOverCount);
    metrics.registerGauge(
        "toucansaddle_gateway_paused_upstreams",
        "Upstreams that get nothing from this router for a time, as they asked.",
        state::pausedUpstreams);
    metrics.registerGauge(
        "toucansaddle_gateway_leaving_upstreams",
        "Upstreams that said in a response that they leave.",
        state::leavingUpstreams);
    metrics.registerGauge(
        "toucansaddle_gateway_origins", "Origins of streams in memory.", state.origins()::size);
  }
}
