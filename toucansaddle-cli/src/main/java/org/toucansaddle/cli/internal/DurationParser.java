package org.toucansaddle.cli.internal;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses durations such as {@code 500ms}, {@code 8s} or {@code 2m}. Stateless and thread-safe. */
final class DurationParser {

  private static final Pattern DURATION = Pattern.compile("([0-9]{1,8})(ms|s|m)");

  private DurationParser() {}

  /** Returns a duration in milliseconds, limited to {@link Integer#MAX_VALUE}. */
  static int parseMillis(String text) {
    Matcher matcher = DURATION.matcher(text);
    if (!matcher.matches()) {
      throw CliErrors.invalidDuration(text);
    }
    long amount = Long.parseLong(matcher.group(1));
    long millisPerUnit =
        switch (matcher.group(2)) {
          case "ms" -> 1;
          case "s" -> 1_000;
          default -> 60_000;
        };
    return (int) Math.min(Integer.MAX_VALUE, amount * millisPerUnit);
  }
}
