package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.Collection;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.toucansaddle.coordination.admission.AccountParts;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;

/**
 * Admits the part of a service's requests that its upstreams can serve without long queues.
 *
 * <p>A router knows the load of the others as last reported. Upstreams with short responses empty
 * and fill several times between two reports, so free places seen in a report say little; if all
 * routers use them, queues at the upstreams are either full or empty. Each router therefore admits
 * a part of its requests, which shrinks in proportion while the upstreams have too many requests
 * and grows by steps while they have fewer. Since a larger part shrinks more, the routers come to
 * admit the same part. Client accounts have max-min fair shares of that part. Thread-safe.
 */
final class ServiceThrottle {

  /** Requests per slot above which a smaller part is admitted. */
  private static final double TARGET_REQUESTS_PER_SLOT = 1.4;

  /** Longest interval of the reports of other routers. */
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Largest change of the admitted part in a step. */
  private static final double MAX_INCREASE = 0.2;

  /** Part of the excess over the target by which the admitted part shrinks in a step. */
  private static final double DECREASE_FACTOR = 0.5;

  /** Smallest part, so that a router notices when the upstreams have room again. */
  private static final double MIN_ADMITTED = 0.02;

  private final LongSupplier clock;
  private final DoubleSupplier random;
  private AccountParts parts;
  private double admitted = 1;
  private long lastStepAt;

  /** Creates a throttle that admits all requests; {@code clock} returns nanoseconds. */
  ServiceThrottle(LongSupplier clock) {
    this(clock, () -> ThreadLocalRandom.current().nextDouble());
  }

  ServiceThrottle(LongSupplier clock, DoubleSupplier random) {
    this.clock = clock;
    this.random = random;
    this.parts = new AccountParts(clock);
    this.lastStepAt = clock.getAsLong();
  }

  /** Returns a copy that changes independently. */
  synchronized ServiceThrottle copy() {
    ServiceThrottle copy = new ServiceThrottle(clock, random);
    copy.parts = parts.copy();
    copy.admitted = admitted;
    copy.lastStepAt = lastStepAt;
    return copy;
  }

  /**
   * Returns whether a request to one of these upstreams is admitted.
   *
   * @param account client account; empty if the request has none
   */
  boolean admits(String account, Collection<Upstream> upstreams) {
    return admits(account, requests(upstreams), slots(upstreams));
  }

  /** Records a request and returns the part of such requests that is admitted. */
  double partOf(String account, Collection<Upstream> upstreams) {
    return partOf(account, requests(upstreams), slots(upstreams));
  }

  private int requests(Collection<Upstream> upstreams) {
    long now = clock.getAsLong();
    return upstreams.stream().mapToInt(upstream -> upstream.requests(now)).sum();
  }

  private static int slots(Collection<Upstream> upstreams) {
    return upstreams.stream().mapToInt(upstream -> upstream.report().slots()).sum();
  }

  /**
   * Returns whether a request is admitted.
   *
   * @param account client account; empty if the request has none
   * @param requests requests of all routers at the upstreams of the service
   * @param slots requests that these upstreams run at the same time
   */
  synchronized boolean admits(String account, int requests, int slots) {
    double part = partOf(account, requests, slots);
    return admitted >= 1 || random.getAsDouble() < part;
  }

  private synchronized double partOf(String account, int requests, int slots) {
    long now = clock.getAsLong();
    double steps = (now - lastStepAt) / (double) STEP_NANOS;
    if (steps >= 1) {
      lastStepAt = now;
      adjust(requests / Math.max(1, slots * TARGET_REQUESTS_PER_SLOT), steps);
    }
    parts.record(account);
    return admitted >= 1 ? 1 : parts.partOf(account, admitted);
  }

  /** Adjusts the admitted part to a load, as a fraction of the target. */
  private void adjust(double load, double steps) {
    if (load < 1) {
      admitted = Math.min(1, admitted + MAX_INCREASE * (1 - load) * steps);
    } else {
      double excess = 1 - 1 / load;
      admitted = Math.max(MIN_ADMITTED, admitted * (1 - DECREASE_FACTOR * excess));
    }
  }
}
