package org.toucansaddle.daemon.internal.gateway.relay;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;
import org.toucansaddle.daemon.internal.metrics.MetricsRegistry;

/**
 * Counters and histograms of one daemon of a gateway. Thread-safe.
 *
 * <p>No exemplars and no native histograms: the text format has neither, but each request would pay
 * for them.
 */
public final class RelayMetrics {

  private final MetricsRegistry metrics = new MetricsRegistry();
  private final PrometheusRegistry registry = metrics.registry();
  private final Counter requests =
      Counter.builder()
          .name("toucansaddle_gateway_answers_total")
          .help("Requests ended, by route and outcome.")
          .labelNames("route", "outcome")
          .withoutExemplars()
          .register(registry);
  private final Counter attempts =
      Counter.builder()
          .name("toucansaddle_gateway_attempts_total")
          .help("Attempts at upstreams, by outcome.")
          .labelNames("outcome")
          .withoutExemplars()
          .register(registry);
  private final Counter originLookups =
      Counter.builder()
          .name("toucansaddle_gateway_origin_lookups_total")
          .help("Lookups of where a stream began, by outcome.")
          .labelNames("outcome")
          .withoutExemplars()
          .register(registry);
  private final Counter malformedLoads =
      Counter.builder()
          .name("toucansaddle_gateway_malformed_loads_total")
          .help("Responses whose field of the upstream's load cannot be used.")
          .register(registry);
  private final Counter unreadEnded =
      Counter.builder()
          .name("toucansaddle_gateway_unread_ended_total")
          .help("Responses ended since their callers did not take them, by cause.")
          .labelNames("cause")
          .withoutExemplars()
          .register(registry);
  private final Histogram firstByteSeconds =
      Histogram.builder()
          .name("toucansaddle_gateway_first_byte_seconds")
          .help("Time from a request's arrival to the first byte of its answer, in seconds.")
          .labelNames("route")
          .withoutExemplars()
          .classicOnly()
          .classicUpperBounds(0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
          .register(registry);

  /** Counts a request that ended. */
  public void recordRequest(String route, String outcome) {
    requests.labelValues(route, outcome).inc();
  }

  /** Counts an attempt that ended. */
  public void recordAttempt(String outcome) {
    attempts.labelValues(outcome).inc();
  }

  /** Counts a response whose field of the upstream's load cannot be used. */
  public void recordMalformedLoad() {
    malformedLoads.inc();
  }

  /** Counts a response that was ended since its caller did not take it. */
  void recordUnreadEnded(String cause) {
    unreadEnded.labelValues(cause).inc();
  }

  /** Counts a lookup of where a stream began. */
  public void recordOriginLookup(String outcome) {
    originLookups.labelValues(outcome).inc();
  }

  /** Records the time to the first byte of a response. */
  public void recordFirstByte(String route, double seconds) {
    firstByteSeconds.labelValues(route).observe(seconds);
  }

  /** Adds a gauge that is read when metrics are collected. */
  public void registerGauge(String name, String help, DoubleSupplier value) {
    metrics.registerGauge(name, help, value);
  }

  /** Returns all metrics in the Prometheus text format. */
  public String text() {
    return metrics.text();
  }
}
