package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.Optional;
import java.util.OptionalInt;
import org.toucansaddle.coordination.upstream.ReportedLoad;

/**
 * Parser for the field in which an upstream reports its load: running requests, waiting requests,
 * slots and, in some services, the time of work in percent. Stateless and thread-safe.
 */
final class LoadField {

  private static final int MIN_FIGURES = 3;

  /** Digits of the longest figure; larger ones cannot be right. */
  private static final int MAX_DIGITS = 7;

  private LoadField() {}

  /** Parses a field; empty if a figure is missing, is no whole number or cannot be right. */
  static Optional<ReportedLoad> parse(String text) {
    String[] figures = text.split(",", -1);
    int[] numbers = new int[Math.min(figures.length, MIN_FIGURES + 1)];
    if (numbers.length < MIN_FIGURES) {
      return Optional.empty();
    }
    for (int i = 0; i < numbers.length; i++) {
      numbers[i] = number(figures[i].trim());
      if (numbers[i] < 0) {
        return Optional.empty();
      }
    }
    OptionalInt workPercent =
        numbers.length > MIN_FIGURES ? OptionalInt.of(numbers[MIN_FIGURES]) : OptionalInt.empty();
    return Optional.of(new ReportedLoad(numbers[0], numbers[1], numbers[2], workPercent))
        .filter(ReportedLoad::isPlausible);
  }

  /** Returns a whole number; -1 if the text is none. */
  private static int number(String text) {
    boolean isNumber =
        !text.isEmpty()
            && text.length() <= MAX_DIGITS
            && text.chars().allMatch(c -> c >= '0' && c <= '9');
    return isNumber ? Integer.parseInt(text) : -1;
  }
}
