package org.toucansaddle.daemon.internal.gateway.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.toucansaddle.protocol.generated.DigestStrike;

/** Strikes that routers told of, each passed on to every other router once. Thread-safe. */
final class RecentStrikes {

  private static final long KEPT_NANOS = TimeUnit.SECONDS.toNanos(60);
  private static final int MAX_STRIKES = 5_000;

  /** When a strike came, and its number. */
  private record Noted(long atNanos, long number) {}

  private final LongSupplier clock;
  private final Map<DigestStrike, Noted> strikes = new LinkedHashMap<>();
  private long last;

  RecentStrikes(LongSupplier clock) {
    this.clock = clock;
  }

  /** Takes strikes; returns whether one of them is new. */
  synchronized boolean add(List<DigestStrike> told) {
    long now = clock.getAsLong();
    strikes.values().removeIf(noted -> now - noted.atNanos() > KEPT_NANOS);
    boolean added = false;
    for (DigestStrike strike : told) {
      if (strikes.size() < MAX_STRIKES && !strikes.containsKey(strike)) {
        strikes.put(strike, new Noted(now, ++last));
        added = true;
      }
    }
    return added;
  }

  /** Returns the number of the newest strike. */
  synchronized long lastSequence() {
    return last;
  }

  /** Returns the strikes after a number. */
  synchronized List<DigestStrike> after(long number) {
    List<DigestStrike> found = new ArrayList<>();
    strikes.forEach(
        (strike, noted) -> {
          if (noted.number() > number) {
            found.add(strike);
          }
        });
    return found;
  }
}
