package org.toucansaddle.daemon.internal.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Plans which upstream loads which model, at most one move per call.
 *
 * <p>A model needs another upstream if a work class uses it and no upstream serves it, or if its
 * queue has been non-empty for longer than the tightest first-token target of its work classes.
 * Standby upstreams are preferred. Otherwise an upstream is moved from a pool that no work class
 * uses, or from one whose utilisation stays at or below half without it. Stateless and thread-safe.
 */
final class PlacementPlanner {

  /** Name of the pool of upstreams that serve no model. */
  static final String STANDBY = "standby";

  private static final int MAX_UTILISATION_PERCENT = 50;
  private static final int PERCENT = 100;

  /**
   * A move of an upstream to another model. Immutable.
   *
   * @param upstream upstream that loads the model
   * @param fromPool name of the pool that it currently belongs to
   * @param model name of the model to load
   */
  record Move(MovableUpstream upstream, String fromPool, String model) {}

  private PlacementPlanner() {}

  /**
   * Returns the next move, if a model needs one and an upstream is available.
   *
   * @param pools latest states of the pools
   * @param firstTokenTargets tightest first-token target of each model that a work class uses, in
   *     milliseconds
   * @param loading models that an upstream is already loading
   * @param canMove selects the upstreams that may get an order now
   */
  static Optional<Move> plan(
      Collection<PoolState> pools,
      Map<String, Integer> firstTokenTargets,
      Set<String> loading,
      Predicate<MovableUpstream> canMove) {
    return firstTokenTargets.entrySet().stream()
        .filter(target -> !loading.contains(target.getKey()))
        .filter(target -> needsUpstream(find(pools, target.getKey()), target.getValue()))
        .map(Map.Entry::getKey)
        .sorted()
        .map(model -> planMove(pools, firstTokenTargets, model, canMove))
        .flatMap(Optional::stream)
        .findFirst();
  }

  private static Optional<PoolState> find(Collection<PoolState> pools, String model) {
    return pools.stream().filter(pool -> pool.model().equals(model)).findFirst();
  }

  private static boolean needsUpstream(Optional<PoolState> pool, int targetMillis) {
    return pool.isEmpty()
        || pool.get().upstreams() == 0
        || pool.get().backloggedMillis() > targetMillis;
  }

  private static Optional<Move> planMove(
      Collection<PoolState> pools,
      Map<String, Integer> firstTokenTargets,
      String model,
      Predicate<MovableUpstream> canMove) {
    Comparator<Move> standbyFirst = Comparator.comparing(move -> !move.fromPool().equals(STANDBY));
    return pools.stream()
        .filter(pool -> !pool.model().equals(model))
        .flatMap(
            pool ->
                pool.movable().stream()
                    .filter(canMove)
                    .filter(upstream -> upstream.loadable().contains(model))
                    .filter(upstream -> canRelease(pool, upstream, firstTokenTargets))
                    .map(upstream -> new Move(upstream, pool.model(), model)))
        .min(standbyFirst.thenComparing(move -> move.upstream().id()));
  }

  private static boolean canRelease(
      PoolState pool, MovableUpstream upstream, Map<String, Integer> firstTokenTargets) {
    boolean inUse = firstTokenTargets.containsKey(pool.model());
    if (!inUse) {
      return true;
    }
    int remainingSlots = pool.slots() - upstream.slots();
    boolean underutilised = pool.inFlight() * PERCENT <= remainingSlots * MAX_UTILISATION_PERCENT;
    return pool.upstreams() > 1 && pool.backloggedMillis() == 0 && underutilised;
  }
}
