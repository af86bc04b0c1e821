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
import org.toucansaddle.daemon.internal.gateway.origin.StreamOrigin;

/**
 * Latest reports of the upstreams that report to this control daemon.
 *
 * <p>For each id the report with the latest start and the highest sequence number is kept,
 * regardless of the order of arrival. An upstream that deregistered stays {@link State#GONE} for
 * that start. Entries and software versions without a report for 60 s are evicted. Thread-safe.
 */
public final class UpstreamRegistry {

  private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Difference up to which two warm-ups are the same one; reports may be late. */
  private static final long MIN_TURN_MILLIS = 500;

  /**
   * A report with its time of receipt. Immutable.
   *
   * @param report report of the upstream
   * @param receivedAtNanos time of receipt on the registry's clock, in nanoseconds
   * @param change number of the change that stored the entry, increasing
   */
  public record Entry(UpstreamReport report, long receivedAtNanos, long change) {}

  private final LongSupplier clock;
  private final Map<String, Entry> entries = new HashMap<>();

  /** Starts, by id, that said in a response that they leave. */
  private final Map<String, Long> leavingStarts = new HashMap<>();

  /** Software versions that no entry may have any more, with the time of the last report. */
  private final Map<StreamOrigin, Long> formerVersions = new HashMap<>();

  private long changes;

  /** Creates an empty registry; {@code clock} gives nanoseconds. */
  public UpstreamRegistry(LongSupplier clock) {
    this.clock = clock;
  }

  /**
   * Stores a report unless it is outdated.
   *
   * @return whether the state, start, address, service or software version of the upstream changed,
   *     or whether it has turned cold
   */
  public synchronized boolean update(UpstreamReport report) {
    Entry current = entries.get(report.id());
    if (current != null && !report.supersedes(current.report())) {
      return false;
    }
    UpstreamReport completed = current == null ? report : report.completedBy(current.report());
    if (current != null
        && !current.report().softwareVersion().equals(completed.softwareVersion())) {
      recordVersion(versionOf(current.report()), current.receivedAtNanos());
    }
    boolean turnsCold = current != null && turnsCold(current, completed);
    store(completed);
    evictStale();
    return current == null || turnsCold || differs(current.report(), completed);
  }

  /** Returns whether a report has a longer warm-up than the one before. */
  private boolean turnsCold(Entry current, UpstreamReport report) {
    long elapsedMillis =
        TimeUnit.NANOSECONDS.toMillis(clock.getAsLong() - current.receivedAtNanos());
    long known = Math.max(0, current.report().warmUpMillis().orElse(0) - elapsedMillis);
    return report.warmUpMillis().orElse(0) > known + MIN_TURN_MILLIS;
  }

  private static boolean differs(UpstreamReport current, UpstreamReport report) {
    return current.state() != report.state()
        || current.startedAtMillis() != report.startedAtMillis()
        || !current.address().equals(report.address())
        || !current.service().equals(report.service())
        || !current.softwareVersion().equals(report.softwareVersion());
  }

  private void store(UpstreamReport report) {
    entries.put(report.id(), new Entry(report, clock.getAsLong(), ++changes));
  }

  private void evictStale() {
    long oldest = clock.getAsLong() - RETENTION_NANOS;
    entries.values().removeIf(entry -> entry.receivedAtNanos() - oldest < 0);
    formerVersions.values().removeIf(reportedAt -> reportedAt - oldest < 0);
    leavingStarts.keySet().retainAll(entries.keySet());
  }

  private static StreamOrigin versionOf(UpstreamReport report) {
    return new StreamOrigin(report.service(), report.softwareVersion());
  }

  /**
   * Adds a software version of upstreams that reported before this daemon started, or that started
   * again with another version.
   */
  synchronized void recordVersion(StreamOrigin version, long reportedAtNanos) {
    formerVersions.merge(version, reportedAtNanos, UpstreamRegistry::later);
  }

  private static long later(long a, long b) {
    return a - b >= 0 ? a : b;
  }

  /** Returns the software versions of all services with the time of the last report of each. */
  synchronized Map<StreamOrigin, Long> versions() {
    evictStale();
    Map<StreamOrigin, Long> versions = new HashMap<>(formerVersions);
    for (Entry entry : entries.values()) {
      if (!entry.report().service().isEmpty()) {
        versions.merge(versionOf(entry.report()), entry.receivedAtNanos(), UpstreamRegistry::later);
      }
    }
    return versions;
  }

  /**
   * Marks an upstream as gone.
   *
   * @param nowMillis time in milliseconds since the epoch; used as the start time of an upstream
   *     that has not reported to this daemon
   */
  public synchronized void deregister(String id, long nowMillis) {
    Entry current = entries.get(id);
    if (current == null) {
      store(new UpstreamReport(id, "", "", "", 0, State.GONE, nowMillis, 0));
    } else if (current.report().state() != State.GONE) {
      store(current.report().withState(State.GONE));
    }
  }

  /**
   * Records that one start of an upstream said in a response that it leaves. Its later reports do
   * not change that.
   *
   * @return whether that was not known
   */
  public synchronized boolean markLeaving(String id, long startedAtMillis) {
    Entry entry = entries.get(id);
    if (entry == null || entry.report().startedAtMillis() != startedAtMillis || isLeaving(entry)) {
      return false;
    }
    leavingStarts.put(id, startedAtMillis);
    entries.put(id, new Entry(entry.report(), entry.receivedAtNanos(), ++changes));
    return true;
  }

  /** Returns whether the start of an entry said in a response that it leaves. */
  public synchronized boolean isLeaving(Entry entry) {
    Long start = leavingStarts.get(entry.report().id());
    return start != null && start == entry.report().startedAtMillis();
  }

  /** Returns the latest report of an upstream. */
  public synchronized Optional<UpstreamReport> find(String id) {
    return Optional.ofNullable(entries.get(id)).map(Entry::report);
  }

  /** Returns the number of upstreams of a zone that report to this daemon. */
  public synchronized int countInZone(String zone) {
    return (int)
        entries.values().stream().filter(entry -> entry.report().zone().equals(zone)).count();
  }

  /** Returns the number of the last change. */
  public synchronized long lastChange() {
    return changes;
  }

  /** Returns the entries with a change number above the given one. */
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
