package org.toucansaddle.daemon.internal.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;
import org.toucansaddle.daemon.internal.peer.PeerTraffic;

/** Counters, gauges and histograms of one daemon. Thread-safe. */
public final class RouterMetrics {

  private final MetricsRegistry metrics = new MetricsRegistry();
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
  private final Histogram firstTokenSeconds =
      Histogram.builder()
          .name("toucansaddle_first_token_seconds")
          .help("Time from a request's arrival to its first token, in seconds.")
          .labelNames("class")
          .classicUpperBounds(0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)
          .register(registry);

  /** Counts a request that ended; the outcome of a refused one is its problem type. */
  public void countAnswer(String workClass, String outcome) {
    answers.labelValues(workClass, outcome).inc();
  }

  /** Counts an attempt that ended. */
  public void countAttempt(String outcome) {
    attempts.labelValues(outcome).inc();
  }

  /** Counts tokens served to an account. */
  public void countTokens(String account, long tokenCount) {
    tokens.labelValues(account).inc(tokenCount);
  }

  /** Records the time from a request's arrival to its first token, in seconds. */
  public void observeFirstToken(String workClass, double seconds) {
    firstTokenSeconds.labelValues(workClass).observe(seconds);
  }

  /** Registers a gauge whose value is read at each scrape. */
  public void registerGauge(String name, String help, DoubleSupplier value) {
    metrics.registerGauge(name, help, value);
  }

  /** Registers counters of the messages to other daemons, read at each scrape. */
  public void registerPeerTraffic(PeerTraffic traffic) {
    CounterWithCallback.builder()
        .name("toucansaddle_peer_messages_total")
        .help("Messages sent to other daemons, by kind.")
        .labelNames("kind")
        .callback(
            counter ->
                traffic
                    .sentByKind()
                    .forEach((kind, volume) -> counter.call(volume.messages(), kind)))
        .register(registry);
    CounterWithCallback.builder()
        .name("toucansaddle_peer_bytes_total")
        .help("Encoded size of the messages sent to other daemons, by kind.")
        .labelNames("kind")
        .callback(
            counter ->
                traffic.sentByKind().forEach((kind, volume) -> counter.call(volume.bytes(), kind)))
        .register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  public String text() {
    return metrics.text();
  }
}
