package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.IntFunction;
import java.util.random.RandomGenerator;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Selection;

/**
 * The upstreams among which one is drawn for a request. Immutable as long as the arrays given to it
 * are not modified, and thread-safe.
 */
final class Shortlist {

  private final IntFunction<Selection> selections;
  private final double[] values;
  private final boolean weighted;

  private Shortlist(IntFunction<Selection> selections, double[] values, boolean weighted) {
    this.selections = selections;
    this.values = values;
    this.weighted = weighted;
  }

  /**
   * Returns a list of which one is drawn in proportion to its weight; none if all are 0.
   *
   * @param selections creates the selection at an index, when it is needed
   */
  static Shortlist byWeight(IntFunction<Selection> selections, double[] weights) {
    return new Shortlist(selections, weights, true);
  }

  /** Returns a list of which two are drawn and the one of lower cost is taken. */
  static Shortlist bestOfTwo(List<Selection> selections, double[] costs) {
    return new Shortlist(selections::get, costs, false);
  }

  /**
   * A selection and how likely it is drawn. Immutable.
   *
   * @param probability from above 0 to 1
   */
  record Chance(Selection selection, double probability) {}

  /** Draws a selection; empty if there is none. */
  Optional<Selection> draw(RandomGenerator random) {
    if (weighted) {
      double sum = sum();
      return sum <= 0
          ? Optional.empty()
          : Optional.of(selections.apply(indexAt(random.nextDouble(sum))));
    }
    if (values.length == 0) {
      return Optional.empty();
    }
    int one = random.nextInt(values.length);
    return Optional.of(selections.apply(better(one, random.nextInt(values.length))));
  }

  private double sum() {
    double sum = 0;
    for (double value : values) {
      sum += value;
    }
    return sum;
  }

  private int indexAt(double point) {
    int index = 0;
    double rest = point;
    while (rest >= values[index] && index < values.length - 1) {
      rest -= values[index];
      index++;
    }
    return index;
  }

  private int better(int one, int other) {
    return values[one] <= values[other] ? one : other;
  }

  /** Returns the selections that may be drawn, the most likely first. */
  List<Chance> chances() {
    double[] parts = weighted ? values.clone() : pairsWon();
    double sum = Arrays.stream(parts).sum();
    List<Chance> chances = new ArrayList<>();
    for (int i = 0; i < parts.length; i++) {
      if (parts[i] > 0) {
        chances.add(new Chance(selections.apply(i), parts[i] / sum));
      }
    }
    chances.sort((a, b) -> Double.compare(b.probability(), a.probability()));
    return chances;
  }

  private double[] pairsWon() {
    double[] won = new double[values.length];
    for (int one = 0; one < won.length; one++) {
      for (int other = 0; other < won.length; other++) {
        won[better(one, other)]++;
      }
    }
    return won;
  }
}
