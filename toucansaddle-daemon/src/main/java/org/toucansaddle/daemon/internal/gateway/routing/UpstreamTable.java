package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.coordination.pacing.UpstreamPace;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;

/**
 * The upstreams known to a router, merged from the updates of several control daemons.
 *
 * <p>For each id the report with the latest start and sequence is merged. Of several upstreams at
 * one address only the one with the latest start is used. A software version that was reported once
 * holds for its start. Readers get an immutable list and an immutable set of software versions for
 * each service; all lists and all sets are replaced at once. Thread-safe.
 */
public final class UpstreamTable {

  private static final long SILENCE_EVICTION_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Software version of a service. Immutable. */
  private record ServiceVersion(String service, String version) {

    static ServiceVersion of(UpstreamReport report) {
      return new ServiceVersion(report.service(), report.softwareVersion());
    }
  }

  private final boolean paces;
  private volatile boolean pacesNewStarts;
  private final Map<String, Upstream> byId = new HashMap<>();

  /** Versions of replaced incarnations, with the time of the last report of each. */
  private final Map<ServiceVersion, Long> replacedVersions = new HashMap<>();

  private volatile Map<String, List<Upstream>> byService = Map.of();
  private volatile Map<String, Set<String>> versionsByService = Map.of();

  /** Creates an empty table of upstreams that are not paced. */
  public UpstreamTable() {
    this(false);
  }

  /** Creates an empty table; {@code paces} says whether upstreams that recover are paced. */
  UpstreamTable(boolean paces) {
    this.paces = paces;
  }

  /** Upstreams that were known before this call are established, those that start later are not. */
  void paceNewStarts() {
    pacesNewStarts = true;
  }

  private UpstreamPace createPace(UpstreamReport report, long nowNanos) {
    if (!paces) {
      return UpstreamPace.disabled();
    }
    UpstreamPace pace =
        UpstreamPace.established(
            ThreadLocalRandom.current().nextLong(), new PaceLog(report.id()), nowNanos);
    if (pacesNewStarts) {
      pace.begin(report.slots(), nowNanos);
    }
    return pace;
  }

  /** Merges a report that was received at a time which is known. */
  public boolean accept(UpstreamReport report, long reportedAtNanos) {
    return accept(report, reportedAtNanos, reportedAtNanos);
  }

  /**
   * Merges a report.
   *
   * @param reportedAtNanos latest time at which a control daemon received it, on this router's
   *     clock
   * @param notBeforeNanos earliest time at which a control daemon received it
   * @return whether the report was a new incarnation, changed the state of the upstream, or was the
   *     first of its start with a software version
   */
  synchronized boolean accept(UpstreamReport report, long reportedAtNanos, long notBeforeNanos) {
    Upstream current = byId.get(report.id());
    if (current == null || report.startedAtMillis() > current.startedAtMillis()) {
      return replace(current, report, reportedAtNanos, notBeforeNanos);
    }
    UpstreamReport previous = current.report();
    UpstreamReport merged = merge(previous, report);
    if (merged == previous) {
      return false;
    }
    current.updateReport(merged, reportedAtNanos, notBeforeNanos);
    if (previous.state() == merged.state()
        && previous.softwareVersion().equals(merged.softwareVersion())) {
      return false;
    }
    rebuild();
    return true;
  }

  /**
   * Returns {@code current} itself if the report, of the same start or an earlier one, adds
   * nothing.
   */
  private static UpstreamReport merge(UpstreamReport current, UpstreamReport report) {
    if (!report.supersedes(current)) {
      return current.completedBy(report);
    }
    return report.service().isEmpty() ? current.withState(State.GONE) : report.completedBy(current);
  }

  /** Replaces an upstream by a new incarnation, or marks it as gone if no service is named. */
  private boolean replace(
      Upstream current, UpstreamReport report, long reportedAtNanos, long notBeforeNanos) {
    // A departure without a service comes from a control daemon that had no report of the upstream.
    boolean isBareDeparture = report.service().isEmpty();
    if (isBareDeparture && current != null) {
      current.updateReport(current.report().withState(State.GONE), reportedAtNanos, notBeforeNanos);
    } else {
      byId.put(
          report.id(),
          new Upstream(
              report, reportedAtNanos, notBeforeNanos, createPace(report, reportedAtNanos)));
      if (current != null) {
        long lastReportAt = current.lastReportAtNanos();
        replacedVersions.merge(
            ServiceVersion.of(current.report()), lastReportAt, UpstreamTable::laterTime);
      }
    }
    rebuild();
    return true;
  }

  /** Returns an upstream by its incarnation; empty if there is a later one or none of its id. */
  synchronized Optional<Upstream> find(String incarnation) {
    return byId.values().stream().filter(u -> u.incarnation().equals(incarnation)).findFirst();
  }

  /** Returns whether another upstream has reported from the address of one since that one did. */
  synchronized boolean isReplaced(Upstream upstream) {
    return byId.values().stream()
        .filter(other -> other.report().address().equals(upstream.report().address()))
        .anyMatch(other -> other.lastReportAtNanos() - upstream.lastReportAtNanos() > 0);
  }

  /** Returns whether an upstream is the latest known incarnation of its id. */
  synchronized boolean contains(Upstream upstream) {
    return byId.get(upstream.id()) == upstream;
  }

  /** Records that one start of an upstream leaves, whatever it reports. */
  synchronized void markLeaving(String id, long startedAtMillis) {
    Upstream current = byId.get(id);
    if (current != null && current.startedAtMillis() == startedAtMillis) {
      current.markLeaving();
    }
  }

  /** Adds a software version whose upstreams may all have left or started again with another. */
  synchronized void recordVersion(String service, String version, long reportedAtNanos) {
    Long known =
        replacedVersions.merge(
            new ServiceVersion(service, version), reportedAtNanos, UpstreamTable::laterTime);
    if (known == reportedAtNanos) {
      rebuild();
    }
  }

  private static long laterTime(long a, long b) {
    return a - b >= 0 ? a : b;
  }

  /** Evicts upstreams and replaced software versions without a recent report. */
  public synchronized void evictSilent(long nowNanos) {
    long oldest = nowNanos - SILENCE_EVICTION_NANOS;
    boolean evicted = byId.values().removeIf(upstream -> !upstream.hasReportedAfter(oldest));
    evicted |= replacedVersions.values().removeIf(lastReportAt -> lastReportAt - oldest <= 0);
    if (evicted) {
      rebuild();
    }
  }

  private void rebuild() {
    Map<String, Upstream> byAddress = new HashMap<>();
    for (Upstream upstream : byId.values()) {
      byAddress.merge(upstream.report().address(), upstream, UpstreamTable::later);
    }
    Map<String, List<Upstream>> services = new HashMap<>();
    for (Upstream upstream : byAddress.values()) {
      if (upstream.report().state() == State.READY) {
        services
            .computeIfAbsent(upstream.report().service(), name -> new ArrayList<>())
            .add(upstream);
      }
    }
    services.replaceAll((name, list) -> List.copyOf(list));
    byService = Map.copyOf(services);
    versionsByService = collectVersions();
  }

  private Map<String, Set<String>> collectVersions() {
    Map<String, Set<String>> versions = new HashMap<>();
    Set<ServiceVersion> known = new HashSet<>(replacedVersions.keySet());
    byId.values().forEach(upstream -> known.add(ServiceVersion.of(upstream.report())));
    for (ServiceVersion entry : known) {
      versions.computeIfAbsent(entry.service(), name -> new HashSet<>()).add(entry.version());
    }
    versions.replaceAll((name, set) -> Set.copyOf(set));
    return Map.copyOf(versions);
  }

  private static Upstream later(Upstream a, Upstream b) {
    if (a.startedAtMillis() != b.startedAtMillis()) {
      return a.startedAtMillis() > b.startedAtMillis() ? a : b;
    }
    return a.lastReportAtNanos() - b.lastReportAtNanos() >= 0 ? a : b;
  }

  /** Returns the upstreams of a service whose last report says that they are ready. */
  public List<Upstream> ready(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /**
   * Returns the software versions of the upstreams of a service that reported within the retention
   * time, in any state and including replaced incarnations.
   */
  public Set<String> softwareVersions(String service) {
    return versionsByService.getOrDefault(service, Set.of());
  }

  /** Returns all known upstreams in any state. */
  public synchronized List<Upstream> all() {
    return List.copyOf(byId.values());
  }
}
