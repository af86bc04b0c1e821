package org.toucansaddle.coordination.selection;

import java.util.List;
import java.util.OptionalInt;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/**
 * Chooses among the upstreams that have room for a prompt.
 *
 * <p>The home of a prefix is the first upstream in an order that all routers have in common. It is
 * left if it is not expected to begin well within the target, and then for one that has read the
 * prefix too. One that would have to read it again is chosen only if that shortens the expected
 * time by more than the reading takes, since the reading delays the others there by as much.
 * Immutable and thread-safe; does no I/O.
 */
public final class PromptChoice {

  /** Fraction of the target within which an upstream is used for the sake of a shared prefix. */
  private static final double SETTLED_TARGET_FRACTION = 0.8;

  /** Cost by which another upstream may be worse than the best one and still be drawn. */
  private static final double NEAR_BEST_FACTOR = 1.1;

  private final double settledMillis;
  private final double admittedMillis;
  private final IntUnaryOperator draw;

  /**
   * An upstream that has room. Immutable.
   *
   * @param expectedMillis expected time to the first token, in milliseconds
   * @param lengthenedMillis the same, longer if it is in another zone or refuses requests
   * @param rereadMillis part of it in which the upstream reads what others keep, in milliseconds
   * @param isHome whether it is the home of the prefix
   */
  public record Candidate(
      double expectedMillis, double lengthenedMillis, double rereadMillis, boolean isHome) {

    private double costMillis() {
      return lengthenedMillis + rereadMillis;
    }
  }

  /**
   * Creates the choice for a target.
   *
   * @param admittedFraction fraction of the target up to which requests are admitted
   * @param draw draws a number from 0 up to below a bound
   */
  public PromptChoice(double targetMillis, double admittedFraction, IntUnaryOperator draw) {
    this.settledMillis = SETTLED_TARGET_FRACTION * targetMillis;
    this.admittedMillis = admittedFraction * targetMillis;
    this.draw = draw;
  }

  /**
   * Returns the index of the upstream to which a prompt goes for the sake of its prefix.
   *
   * @param candidates upstreams in the order of the prefix
   * @return empty if none is expected to begin well within the target
   */
  public OptionalInt chooseForPrefix(List<Candidate> candidates) {
    OptionalInt home = first(candidates, Candidate::isHome);
    if (home.isPresent() && isSettled(candidates.get(home.getAsInt()))) {
      return home;
    }
    OptionalInt keeper = first(candidates, c -> isSettled(c) && c.rereadMillis() <= 0);
    if (keeper.isPresent()) {
      return keeper;
    }
    OptionalInt next = first(candidates, this::isSettled);
    if (home.isEmpty() || next.isEmpty()) {
      return next;
    }
    Candidate kept = candidates.get(home.getAsInt());
    boolean staysHome =
        kept.lengthenedMillis() <= admittedMillis
            && kept.costMillis() <= candidates.get(next.getAsInt()).costMillis();
    return staysHome ? home : next;
  }

  private boolean isSettled(Candidate candidate) {
    return candidate.expectedMillis() < settledMillis;
  }

  private static OptionalInt first(List<Candidate> candidates, Predicate<Candidate> accepted) {
    return IntStream.range(0, candidates.size())
        .filter(i -> accepted.test(candidates.get(i)))
        .findFirst();
  }

  /**
   * Returns the index of the better of two drawn upstreams that are about as good as the best. If
   * routers with the same reports all chose the best, they would overload it until the next report.
   * One that cannot meet the target is not drawn if another can, nor one that reads a prefix again
   * if the best keeps it.
   *
   * @return empty if there are no candidates
   */
  public OptionalInt drawNearBest(List<Candidate> candidates) {
    boolean oneIsInTime = candidates.stream().anyMatch(this::isInTime);
    int[] eligible =
        IntStream.range(0, candidates.size())
            .filter(i -> !oneIsInTime || isInTime(candidates.get(i)))
            .toArray();
    OptionalInt best =
        IntStream.of(eligible)
            .boxed()
            .min((a, b) -> Double.compare(cost(candidates, a), cost(candidates, b)))
            .map(OptionalInt::of)
            .orElse(OptionalInt.empty());
    if (best.isEmpty()) {
      return best;
    }
    double limit = NEAR_BEST_FACTOR * cost(candidates, best.getAsInt());
    double reread = candidates.get(best.getAsInt()).rereadMillis();
    int[] drawable =
        IntStream.of(eligible)
            .filter(i -> cost(candidates, i) <= limit)
            .filter(i -> reread > 0 || candidates.get(i).rereadMillis() <= 0)
            .toArray();
    int one = drawable[draw.applyAsInt(drawable.length)];
    int other = drawable[draw.applyAsInt(drawable.length)];
    return OptionalInt.of(cost(candidates, one) <= cost(candidates, other) ? one : other);
  }

  private boolean isInTime(Candidate candidate) {
    return candidate.lengthenedMillis() <= admittedMillis;
  }

  private static double cost(List<Candidate> candidates, int index) {
    return candidates.get(index).costMillis();
  }
}
