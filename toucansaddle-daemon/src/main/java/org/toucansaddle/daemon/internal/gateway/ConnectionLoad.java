package org.toucansaddle.daemon.internal.gateway;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.admission.DescriptorBudget;
import org.toucansaddle.daemon.internal.gateway.relay.RelayMetrics;

/**
 * Counts, gauges and log lines of the connections that a router accepts, refuses and closes.
 *
 * <p>The counts are thread-safe; {@link #log} is called by one thread, at most once a second.
 */
final class ConnectionLoad {

  private static final Logger LOG = LoggerFactory.getLogger(ConnectionLoad.class);

  private final List<PacedHttpListener> listeners;
  private final DescriptorBudget budget;

  /** Counts up to the last log line. */
  private long loggedRejections;

  private long loggedRefusals;
  private long loggedGivenUp;

  /**
   * Creates the counts.
   *
   * @param listeners all listeners of the router
   * @param budget descriptors for connections of callers
   */
  ConnectionLoad(List<PacedHttpListener> listeners, DescriptorBudget budget) {
    this.listeners = listeners;
    this.budget = budget;
  }

  /** Returns the number of new connections refused since the start. */
  long refusedCount() {
    return listeners.stream().mapToLong(PacedHttpListener::refusedCount).sum();
  }

  /** Returns the number of connections that wait to be read. */
  int waitingCount() {
    return listeners.stream().mapToInt(PacedHttpListener::waitingCount).sum();
  }

  private long rejectedCount() {
    return listeners.stream().mapToLong(PacedHttpListener::rejectedCount).sum();
  }

  /** Registers the gauges. */
  void register(RelayMetrics metrics) {
    metrics.registerGauge(
        "toucansaddle_gateway_caller_connections",
        "Open connections of callers.",
        budget::openCount);
    metrics.registerGauge(
        "toucansaddle_gateway_given_up_connections",
        "Connections of callers closed since the start to make room for new ones.",
        budget::gaveWayCount);
    metrics.registerGauge(
        "toucansaddle_gateway_rejected_connections",
        "New connections closed since the start because too many waited.",
        this::rejectedCount);
    metrics.registerGauge(
        "toucansaddle_gateway_refused_connections",
        "New connections refused since the start before their request was parsed.",
        this::refusedCount);
  }

  /**
   * Logs what has changed since the last call.
   *
   * @param initialized whether the router has a configuration
   */
  void log(boolean initialized) {
    long rejected = rejectedCount();
    if (rejected > loggedRejections) {
      LOG.warn(
          "{} new connections closed, since {} waited at an I/O thread or {} were open;"
              + " add routers",
          rejected - loggedRejections,
          RouterListeners.MAX_ARRIVED_CONNECTIONS,
          budget.maxOpen());
      loggedRejections = rejected;
    }
    long givenUp = budget.gaveWayCount();
    if (givenUp > loggedGivenUp) {
      LOG.warn(
          "{} connections of callers closed to make room for new ones, since {} were open",
          givenUp - loggedGivenUp,
          budget.maxOpen());
      loggedGivenUp = givenUp;
    }
    long refused = refusedCount();
    if (refused > loggedRefusals) {
      LOG.warn(
          "{} new connections refused before their request was read: {}",
          refused - loggedRefusals,
          initialized ? "they waited too long" : "this router has no configuration yet");
      loggedRefusals = refused;
    }
  }
}
