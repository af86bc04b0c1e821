package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

/**
 * What an upstream says of itself in the head of a response. A value that cannot be read counts as
 * not said. Immutable.
 *
 * @param requestsPerSecond requests that it takes from all routers together; empty if it names none
 * @param leaving whether it leaves
 * @param pauseMillis time for which it wants no requests of this router, in milliseconds; 0 if it
 *     asks for no pause
 * @param malformedLimit whether it names a limit that cannot be read
 * @param malformed values that cannot be read
 */
record UpstreamNotice(
    OptionalDouble requestsPerSecond,
    boolean leaving,
    long pauseMillis,
    boolean malformedLimit,
    List<String> malformed) {

  /** Longest pause that is read; what is done about a long one is decided elsewhere. */
  private static final double MAX_PAUSE_SECONDS = 1e9;

  private static final UpstreamNotice NONE =
      new UpstreamNotice(OptionalDouble.empty(), false, 0, false, List.of());

  /** Copies the list. */
  UpstreamNotice {
    malformed = List.copyOf(malformed);
  }

  /**
   * Parses the fields of a response; {@code null} for those that it does not have.
   *
   * @param limit requests a second
   * @param leaving "1" or "0"
   * @param retryAfter seconds, also fractions; the date that HTTP allows instead is not read, since
   *     clocks differ
   */
  static UpstreamNotice parse(String limit, String leaving, String retryAfter) {
    if (limit == null && leaving == null && retryAfter == null) {
      return NONE;
    }
    List<String> malformed = new ArrayList<>();
    OptionalDouble requestsPerSecond = number(limit, malformed);
    boolean malformedLimit = !malformed.isEmpty();
    double seconds = Math.min(MAX_PAUSE_SECONDS, number(retryAfter, malformed).orElse(0));
    return new UpstreamNotice(
        requestsPerSecond,
        flag(leaving, malformed),
        Math.round(seconds * 1_000),
        malformedLimit,
        malformed);
  }

  private static boolean flag(String text, List<String> malformed) {
    if (text == null || text.trim().equals("0")) {
      return false;
    }
    boolean isSet = text.trim().equals("1");
    if (!isSet) {
      malformed.add(text);
    }
    return isSet;
  }

  private static OptionalDouble number(String text, List<String> malformed) {
    if (text == null) {
      return OptionalDouble.empty();
    }
    double value = parse(text);
    if (Double.isFinite(value) && value >= 0) {
      return OptionalDouble.of(value);
    }
    malformed.add(text);
    return OptionalDouble.empty();
  }

  private static double parse(String text) {
    try {
      return Double.parseDouble(text.trim());
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
