package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What an upstream says of itself in the head of a response. Immutable.
 *
 * @param requestsPerSecond requests that it takes from all routers together; empty if it names none
 * @param malformedLimit a limit that is not a number, which is ignored; empty if there is none
 */
record UpstreamNotice(OptionalDouble requestsPerSecond, Optional<String> malformedLimit) {

  private static final UpstreamNotice NONE =
      new UpstreamNotice(OptionalDouble.empty(), Optional.empty());

  /** Parses a limit; {@code null} if the response has none. */
  static UpstreamNotice parse(String limit) {
    if (limit == null) {
      return NONE;
    }
    try {
      double value = Double.parseDouble(limit.trim());
      if (Double.isFinite(value) && value >= 0) {
        return new UpstreamNotice(OptionalDouble.of(value), Optional.empty());
      }
    } catch (NumberFormatException e) {
      return new UpstreamNotice(OptionalDouble.empty(), Optional.of(limit));
    }
    return new UpstreamNotice(OptionalDouble.empty(), Optional.of(limit));
  }
}
