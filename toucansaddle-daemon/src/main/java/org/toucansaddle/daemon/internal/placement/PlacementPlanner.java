package org.toucansaddle.daemon.internal.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides which upstream should load which model, at most one at a time.
 *
 * <p>A model is short when a class calls for it and no upstream holds it, or when its requests have
 * waited without a break for longer than the tightest first-token target of its classes. An
 * upstream that holds no model is taken first, then one of a pool that stays half idle without it,
 * or that no class calls for. Stateless and thread-safe.
 */
final class PlacementPlanner {

  /** Pool of upstreams that hold no model. */
  static final String STANDBY = "standby";

  private static final int MOST_USED_PERCENT = 50;
  private static final int PERCENT = 100;

  /**
   * A move of an upstream to another model. Immutable.
   *
   * @param upstream upstream that should load the model
   * @param from pool that holds it now
   * @param model model to load
   */
  record Move(MovableUpstream upstream, String fromPool, String model) {}

  private PlacementPlanner() {}

  /**
   * Returns the next move, if one is needed and possible.
   *
   * @param pools states of the pools
   * @param firstTokenTargets tightest first-token target of each model that a class calls for, in
   *     milliseconds
   * @param loading models that an upstream loads already
   * @param mayMove upstreams that got no order lately
   */
  static Optional<Move> plan(
      Collection<PoolState> pools,
      Map<String, Integer> firstTokenTargets,
      Set<String> loading,
      Predicate<MovableUpstream> mayMove) {
    return firstTokenTargets.entrySet().stream()
        .filter(target -> !loading.contains(target.getKey()))
        .filter(target -> isShort(find(pools, target.getKey()), target.getValue()))
        .map(Map.Entry::getKey)
        .sorted()
        .map(model -> move(pools, firstTokenTargets, model, mayMove))
        .flatMap(Optional::stream)
        .findFirst();
  }

  private static Optional<PoolState> find(Collection<PoolState> pools, String model) {
    return pools.stream().filter(pool -> pool.model().equals(model)).findFirst();
  }

  private static boolean isShort(Optional<PoolState> pool, int firstTokenMillis) {
    return pool.isEmpty()
        || pool.get().upstreams() == 0
        || pool.get().backloggedMillis() > firstTokenMillis;
  }

  private static Optional<Move> move(
      Collection<PoolState> pools,
      Map<String, Integer> targets,
      String model,
      Predicate<MovableUpstream> mayMove) {
    Comparator<Move> standbyFirst = Comparator.comparing(move -> !move.fromPool().equals(STANDBY));
    return pools.stream()
        .filter(pool -> !pool.model().equals(model))
        .flatMap(
            pool ->
                pool.movable().stream()
                    .filter(mayMove)
                    .filter(upstream -> upstream.loadable().contains(model))
                    .filter(upstream -> canSpare(pool, upstream, targets))
                    .map(upstream -> new Move(upstream, pool.model(), model)))
        .min(standbyFirst.thenComparing(move -> move.upstream().id()));
  }

  private static boolean canSpare(
      PoolState pool, MovableUpstream upstream, Map<String, Integer> targets) {
    boolean calledFor = targets.containsKey(pool.model());
    if (!calledFor) {
      return true;
    }
    int slotsLeft = pool.slots() - upstream.slots();
    boolean idle = pool.inFlight() * PERCENT <= slotsLeft * MOST_USED_PERCENT;
    return pool.upstreams() > 1 && pool.backloggedMillis() == 0 && idle;
  }
}
