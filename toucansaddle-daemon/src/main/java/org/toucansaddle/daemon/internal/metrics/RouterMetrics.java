package org.toucansaddle.daemon.internal.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;
import org.toucansaddle.daemon.internal.peer.PeerTraffic;

/** Counters, gauges and histograms of one daemon. Thread-safe. */
public final class RouterMetrics {

  private final MetricsText metrics = new MetricsText();
  private final PrometheusRegistry registry = metrics.registry();
  private final Counter answers =
      Counter.builder()
          .name("toucansaddle_answers_total")
          .help("Requests answered, by class of work and outcome.")
          .labelNames("class", "outcome")
          .register(registry);
  private final Counter attempts =
      Counter.builder()
          .name("toucansaddle_attempts_total")
          .help("Attempts at upstreams, by outcome.")
          .labelNames("outcome")
          .register(registry);
  private final Counter tokens =
      Counter.builder()
          .name("toucansaddle_tokens_total")
          .help("Service given to client accounts, in tokens.")
          .labelNames("account")
          .register(registry);
  private final Histogram firstToken =
      Histogram.builder()
          .name("toucansaddle_first_token_seconds")
          .help("Time from a request's arrival to its first token, in seconds.")
          .labelNames("class")
          .classicUpperBounds(0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)
          .register(registry);

  /** Counts an answer. */
  public void answered(String workClass, String outcome) {
    answers.labelValues(workClass, outcome).inc();
  }

  /** Counts an attempt that ended. */
  public void attempted(String outcome) {
    attempts.labelValues(outcome).inc();
  }

  /** Counts service given to an account. */
  public void served(String account, long count) {
    tokens.labelValues(account).inc(count);
  }

  /** Records the time to a first token. */
  public void firstToken(String workClass, double seconds) {
    firstToken.labelValues(workClass).observe(seconds);
  }

  /** Adds a gauge that is read when metrics are collected. */
  public void gauge(String name, String help, DoubleSupplier value) {
    metrics.gauge(name, help, value);
  }

  /** Adds counters of the messages to other daemons, read when metrics are collected. */
  public void peerTraffic(PeerTraffic traffic) {
    CounterWithCallback.builder()
        .name("toucansaddle_peer_messages_total")
        .help("Messages sent to other daemons, by kind.")
        .labelNames("kind")
        .callback(
            c -> traffic.sentByKind().forEach((kind, volume) -> c.call(volume.messages(), kind)))
        .register(registry);
    CounterWithCallback.builder()
        .name("toucansaddle_peer_bytes_total")
        .help("Encoded size of the messages sent to other daemons, by kind.")
        .labelNames("kind")
        .callback(c -> traffic.sentByKind().forEach((kind, volume) -> c.call(volume.bytes(), kind)))
        .register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  public String text() {
    return metrics.text();
  }
}
