package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.toucansaddle.protocol.generated.ServiceDemand;

/** Recent requests of callers for each service, with exponential decay. Thread-safe. */
public final class ArrivalRates {

  /** Time in which a count decays to 1/e. */
  private static final double DECAY_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Count up to which a service is not reported. */
  private static final double MIN_REPORTED_REQUESTS = 0.05;

  private final LongSupplier clock;
  private final Map<String, Double> requests = new HashMap<>();
  private long decayedAt;

  /** Creates an object without requests; {@code clock} returns nanoseconds. */
  ArrivalRates(LongSupplier clock) {
    this.clock = clock;
    this.decayedAt = clock.getAsLong();
  }

  /** Records a request. */
  public synchronized void record(String service) {
    decay();
    requests.merge(service, 1.0, Double::sum);
  }

  /** Returns the recent requests of each service that has some. */
  synchronized List<ServiceDemand> demands() {
    decay();
    requests.values().removeIf(count -> count < MIN_REPORTED_REQUESTS);
    return requests.entrySet().stream()
        .map(
            entry ->
                ServiceDemand.newBuilder()
                    .setService(entry.getKey())
                    .setRequests(entry.getValue().floatValue())
                    .build())
        .toList();
  }

  private void decay() {
    long now = clock.getAsLong();
    double factor = Math.exp(-(now - decayedAt) / DECAY_NANOS);
    requests.replaceAll((service, count) -> count * factor);
    decayedAt = now;
  }
}
