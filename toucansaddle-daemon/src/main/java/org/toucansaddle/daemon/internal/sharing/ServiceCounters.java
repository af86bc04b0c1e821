package org.toucansaddle.daemon.internal.sharing;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the service that this router has provided to each account since its start, in tokens.
 *
 * <p>Totals never decrease. Thread-safe.
 */
public final class ServiceCounters {

  private final Map<Integer, LongAdder> totals = new ConcurrentHashMap<>();

  /** Adds tokens to the total of an account. */
  public void add(int account, long tokens) {
    totals.computeIfAbsent(account, number -> new LongAdder()).add(tokens);
  }

  /** Returns a copy of the totals, in tokens by account number. */
  public Map<Integer, Long> totals() {
    Map<Integer, Long> copy = new TreeMap<>();
    totals.forEach((account, total) -> copy.put(account, total.sum()));
    return copy;
  }
}
