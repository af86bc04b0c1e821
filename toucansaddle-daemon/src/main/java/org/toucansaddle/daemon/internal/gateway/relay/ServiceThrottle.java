package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.Collection;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;

/**
 * Admits the part of a service's requests that its upstreams can serve without long queues.
 *
 * <p>A router knows the load of the others as last reported. Upstreams with short responses empty
 * and fill several times between two reports, so free places seen in a report say little; if all
 * routers use them, queues at the upstreams are either full or empty. Each router therefore admits
 * a part of its requests, which shrinks in proportion while the upstreams have too many requests
 * and grows by steps while they have fewer. Since a larger part shrinks more, the routers come to
 * admit the same part. It shrinks as well when an upstream rejects a request, which tells of a full
 * queue while reports are late. Thread-safe.
 */
final class ServiceThrottle {

  /** Requests per slot above which a smaller part is admitted. */
  private static final double TARGET_REQUESTS_PER_SLOT = 1.4;

  /** Interval of the reports of other routers. */
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Largest change of the admitted part in a step. */
  private static final double MAX_INCREASE = 0.2;

  /** Part of the excess over the target by which the admitted part shrinks in a step. */
  private static final double DECREASE_FACTOR = 0.5;

  /** Factor of the admitted part after an upstream rejected a request. */
  private static final double REJECTION_FACTOR = 0.7;

  /** Smallest part, so that a router notices when the upstreams have room again. */
  private static final double MIN_ADMITTED = 0.02;

  private final LongSupplier clock;
  private final DoubleSupplier random;
  private double admitted = 1;
  private double load;
  private long lastStepAt;

  /** Creates a throttle that admits all requests; {@code clock} returns nanoseconds. */
  ServiceThrottle(LongSupplier clock) {
    this(clock, () -> ThreadLocalRandom.current().nextDouble());
  }

  ServiceThrottle(LongSupplier clock, DoubleSupplier random) {
    this.clock = clock;
    this.random = random;
    this.lastStepAt = clock.getAsLong();
  }

  /** Records that an upstream rejected a request because it has too many. */
  synchronized void recordRejection() {
    admitted = Math.max(MIN_ADMITTED, admitted * REJECTION_FACTOR);
  }

  /** Returns the admitted part and the load that it follows, for people. */
  synchronized String describe() {
    return "The upstreams have %.0f%% of the requests that they are meant to have; %.0f%% are admitted."
        .formatted(100 * load, 100 * admitted);
  }

  /** Returns whether a request to one of these upstreams is admitted. */
  boolean admits(Collection<Upstream> upstreams) {
    int requests = upstreams.stream().mapToInt(Upstream::requests).sum();
    int slots = upstreams.stream().mapToInt(upstream -> upstream.report().slots()).sum();
    return admits(requests, slots);
  }

  /**
   * Returns whether a request is admitted.
   *
   * @param requests requests of all routers at the upstreams of the service
   * @param slots requests that these upstreams run at the same time
   */
  synchronized boolean admits(int requests, int slots) {
    long now = clock.getAsLong();
    double steps = (now - lastStepAt) / (double) STEP_NANOS;
    if (steps >= 1) {
      lastStepAt = now;
      load = requests / Math.max(1, slots * TARGET_REQUESTS_PER_SLOT);
      adjust(steps);
    }
    return admitted >= 1 || random.getAsDouble() < admitted;
  }

  private void adjust(double steps) {
    if (load < 1) {
      admitted = Math.min(1, admitted + MAX_INCREASE * (1 - load) * steps);
    } else {
      double excess = 1 - 1 / load;
      admitted = Math.max(MIN_ADMITTED, admitted * (1 - DECREASE_FACTOR * excess));
    }
  }
}
