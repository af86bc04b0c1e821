package org.toucansaddle.daemon.internal.sharing;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Service this router has given to each account since its start, in tokens.
 *
 * <p>Totals never fall. Thread-safe.
 */
public final class ServiceCounters {

  private final Map<Integer, LongAdder> totals = new ConcurrentHashMap<>();

  /** Adds service to an account. */
  public void add(int account, long tokens) {
    totals.computeIfAbsent(account, a -> new LongAdder()).add(tokens);
  }

  /** Returns the totals by account number. */
  public Map<Integer, Long> totals() {
    Map<Integer, Long> all = new TreeMap<>();
    totals.forEach((account, total) -> all.put(account, total.sum()));
    return all;
  }
}
