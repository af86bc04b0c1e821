package org.toucansaddle.daemon.internal.gateway.relay;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;
import org.toucansaddle.daemon.internal.metrics.MetricsRegistry;

/** Counters and histograms of one daemon of a gateway. Thread-safe. */
public final class RelayMetrics {

  private final MetricsRegistry metrics = new MetricsRegistry();
  private final PrometheusRegistry registry = metrics.registry();
  private final Counter answers =
      Counter.builder()
          .name("toucansaddle_gateway_answers_total")
          .help("Requests ended, by route and outcome.")
          .labelNames("route", "outcome")
          .register(registry);
  private final Counter attempts =
      Counter.builder()
          .name("toucansaddle_gateway_attempts_total")
          .help("Attempts at upstreams, by outcome.")
          .labelNames("outcome")
          .register(registry);
  private final Histogram firstByte =
      Histogram.builder()
          .name("toucansaddle_gateway_first_byte_seconds")
          .help("Time from a request's arrival to the first byte of its answer, in seconds.")
          .labelNames("route")
          .classicUpperBounds(0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
          .register(registry);

  /** Counts a request that ended. */
  public void ended(String route, String outcome) {
    answers.labelValues(route, outcome).inc();
  }

  /** Counts an attempt that ended. */
  public void attempted(String outcome) {
    attempts.labelValues(outcome).inc();
  }

  /** Records the time to the first byte of an answer. */
  public void firstByte(String route, double seconds) {
    firstByte.labelValues(route).observe(seconds);
  }

  /** Adds a gauge that is read when metrics are collected. */
  public void gauge(String name, String help, DoubleSupplier value) {
    metrics.registerGauge(name, help, value);
  }

  /** Returns all metrics in the Prometheus text format. */
  public String text() {
    return metrics.text();
  }
}
