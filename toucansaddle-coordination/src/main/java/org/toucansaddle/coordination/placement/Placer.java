package org.toucansaddle.coordination.placement;

import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.toucansaddle.coordination.internal.placement.PoolPlacer;

/**
 * Grants the slots of one pool of upstreams to the requests of all routers.
 *
 * <pre>{@code
 * Placer placer = Placer.create(
 *     (request, decision) -> send(request.router(), decision), numbers::incrementAndGet,
 *     new SplittableRandom());
 * placer.updatePool(upstreams, capacity);
 * placer.ask(request, clock.getAsLong());
 * placer.recordStart(router, grant, 120, clock.getAsLong());
 * placer.recordEnd(router, grant, clock.getAsLong());
 * }</pre>
 *
 * <p>One place that sees all requests knows the free slots, what each upstream still has to read,
 * and the prefixes that it keeps. A request goes where it costs least. While upstreams have room,
 * every account is served; else accounts above their max-min fair share are refused, and requests
 * of the others wait for a slot as long as they can still meet their target. What is known here is
 * lost with the process: a new place learns what is under way from the routers and the rest from
 * the requests. Upstreams that get more requests than they have slots, from two places at a time,
 * queue or reject them.
 *
 * <p>Thread-safe; does no I/O. Times are in nanoseconds of one monotonic clock.
 */
public interface Placer {

  /** Receives the decisions. Called with the placer's lock held; must not call the placer. */
  @FunctionalInterface
  interface Decisions {

    /** Receives the decision about a request; each request gets at most one. */
    void decided(PlacementRequest request, PlacementDecision decision);
  }

  /**
   * Creates a placer for a pool without upstreams.
   *
   * @param grantNumbers supplies a new positive number for each grant
   * @param random spreads the times at which refused callers come back
   */
  static Placer create(Decisions decisions, LongSupplier grantNumbers, RandomGenerator random) {
    return new PoolPlacer(decisions, grantNumbers, random);
  }

  /** Replaces the upstreams that accept requests; grants at others hold until their end. */
  void updatePool(List<PoolUpstream> upstreams, PoolCapacity capacity);

  /** Decides about a request at once, or lets it wait for a slot. */
  void ask(PlacementRequest request, long now);

  /** Withdraws a request that waits, or gives back its slot if it has one that is not used. */
  void cancel(String router, long request, long now);

  /** Records the first token of a granted request, which came after this time in milliseconds. */
  void recordStart(String router, long grant, double millis, long now);

  /** Records the end of a granted request, which frees its slot. */
  void recordEnd(String router, long grant, long now);

  /** Replaces what is known of a router's requests that were not granted here, by upstream id. */
  void updateOtherLoad(String router, Map<String, OtherLoad> loads);

  /** Forgets a router, its requests and its grants. */
  void removeRouter(String router, long now);

  /** Refuses requests that have waited for too long; called many times a second. */
  void expire(long now);

  /** Returns the number of requests that wait for a slot. */
  int waitingCount();

  /** Returns the number of slots granted and not given back. */
  int grantedCount();
}
