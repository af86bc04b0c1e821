package org.toucansaddle.daemon.internal.gateway.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.toucansaddle.protocol.generated.DigestStrike;

/**
 * Strikes that routers reported within the last minute, numbered so that each router receives each
 * of them once. Thread-safe.
 */
final class RecentStrikes {

  private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);
  private static final int MAX_STRIKES = 5_000;

  /** Time of receipt and sequence number of a strike. */
  private record Receipt(long receivedAtNanos, long sequence) {}

  private final LongSupplier clock;
  private final Map<DigestStrike, Receipt> strikes = new LinkedHashMap<>();
  private long lastSequence;

  RecentStrikes(LongSupplier clock) {
    this.clock = clock;
  }

  /**
   * Adds strikes; new ones are dropped while the limit is reached.
   *
   * @return whether at least one of them was added
   */
  synchronized boolean add(List<DigestStrike> reported) {
    long now = clock.getAsLong();
    strikes.values().removeIf(receipt -> now - receipt.receivedAtNanos() > RETENTION_NANOS);
    boolean added = false;
    for (DigestStrike strike : reported) {
      if (strikes.size() < MAX_STRIKES && !strikes.containsKey(strike)) {
        strikes.put(strike, new Receipt(now, ++lastSequence));
        added = true;
      }
    }
    return added;
  }

  /** Returns the sequence number of the latest strike; 0 before the first one. */
  synchronized long lastSequence() {
    return lastSequence;
  }

  /** Returns the strikes with a sequence number above the given one. */
  synchronized List<DigestStrike> after(long sequence) {
    List<DigestStrike> found = new ArrayList<>();
    strikes.forEach(
        (strike, receipt) -> {
          if (receipt.sequence() > sequence) {
            found.add(strike);
          }
        });
    return found;
  }
}
