package org.toucansaddle.daemon.internal.metrics;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.DoubleSupplier;

/** Prometheus registry of one daemon, with export in the text format. Thread-safe. */
public final class MetricsRegistry {

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.builder().build();

  /** Returns the underlying registry, for counters and histograms. */
  public PrometheusRegistry registry() {
    return registry;
  }

  /** Registers a gauge whose value is read at each scrape. */
  public void registerGauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(gauge -> gauge.call(value.getAsDouble()))
        .register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  public String text() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      writer.write(out, registry.scrape());
    } catch (IOException e) {
      throw new IllegalStateException("The metrics could not be written.", e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }
}
