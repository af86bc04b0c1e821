package org.toucansaddle.standins.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;

/** Named results of an experiment, in insertion order. Not thread-safe. */
public final class Measurements {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final double ROUNDING = 10_000;

  private final Map<String, Double> values = new LinkedHashMap<>();

  /** Adds a measurement, or replaces the one of the same name. */
  public Measurements put(String name, double value) {
    values.put(name, value);
    return this;
  }

  /** Adds all measurements of a baseline, with {@code baseline_} before their names. */
  public Measurements putBaseline(Measurements baseline) {
    baseline.values.forEach((name, value) -> values.put("baseline_" + name, value));
    return this;
  }

  /**
   * Returns a measurement.
   *
   * @throws NullPointerException if there is none of this name
   */
  public double get(String name) {
    return values.get(name);
  }

  /** Returns one flat JSON object; numbers are rounded to four decimal places. */
  public String toJson() {
    ObjectNode node = JSON.createObjectNode();
    values.forEach(
        (name, value) -> {
          if (value == Math.rint(value) && Math.abs(value) < 1e15) {
            node.put(name, value.longValue());
          } else {
            node.put(name, Math.round(value * ROUNDING) / ROUNDING);
          }
        });
    return node.toString();
  }
}
