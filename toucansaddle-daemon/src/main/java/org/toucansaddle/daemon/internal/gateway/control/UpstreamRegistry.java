package org.toucansaddle.daemon.internal.gateway.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;

/**
 * What upstreams said of themselves to this control daemon.
 *
 * <p>For each id the report with the latest start and the highest sequence holds, whatever the
 * order of arrival; one that left stays gone for that start. Entries that were silent for a while
 * are forgotten. Thread-safe.
 */
public final class UpstreamRegistry {

  private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(60);

  /**
   * A report and when it came. Immutable.
   *
   * @param report what the upstream said
   * @param heardAtNanos when, on the registry's clock
   * @param change number of the change that put it here, rising
   */
  public record Entry(UpstreamReport report, long receivedAtNanos, long change) {}

  private final LongSupplier clock;
  private final Map<String, Entry> entries = new HashMap<>();
  private long changes;

  /** Creates an empty registry; {@code clock} gives nanoseconds. */
  public UpstreamRegistry(LongSupplier clock) {
    this.clock = clock;
  }

  /**
   * Takes a report.
   *
   * @return whether it changed more than the time it was heard
   */
  public synchronized boolean update(UpstreamReport report) {
    Entry held = entries.get(report.id());
    if (held != null && !report.supersedes(held.report())) {
      return false;
    }
    put(report);
    forgetSilent();
    return held == null || differs(held.report(), report);
  }

  private static boolean differs(UpstreamReport held, UpstreamReport report) {
    return held.state() != report.state()
        || held.startedAtMillis() != report.startedAtMillis()
        || !held.address().equals(report.address())
        || !held.service().equals(report.service());
  }

  private void put(UpstreamReport report) {
    entries.put(report.id(), new Entry(report, clock.getAsLong(), ++changes));
  }

  private void forgetSilent() {
    long oldest = clock.getAsLong() - FORGET_NANOS;
    entries.values().removeIf(entry -> entry.receivedAtNanos() - oldest < 0);
  }

  /**
   * Notes that an upstream left.
   *
   * @param nowMillis time since 1970, which stands in for the start of one that is not known here
   */
  public synchronized void deregister(String id, long nowMillis) {
    Entry held = entries.get(id);
    if (held == null) {
      put(new UpstreamReport(id, "", "", "", 0, State.GONE, nowMillis, 0));
    } else if (held.report().state() != State.GONE) {
      put(held.report().withState(State.GONE));
    }
  }

  /** Returns the report of an upstream. */
  public synchronized Optional<UpstreamReport> find(String id) {
    return Optional.ofNullable(entries.get(id)).map(Entry::report);
  }

  /** Returns the number of the last change. */
  public synchronized long lastChange() {
    return changes;
  }

  /** Returns the entries changed after a change, by its number. */
  public synchronized List<Entry> changedAfter(long change) {
    List<Entry> changed = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.change() > change) {
        changed.add(entry);
      }
    }
    return changed;
  }
}
