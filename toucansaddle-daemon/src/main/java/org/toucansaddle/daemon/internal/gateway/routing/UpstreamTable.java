package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;

/**
 * The upstreams known to a router, merged from the updates of several control daemons.
 *
 * <p>For each id the report with the latest start and sequence is merged. Of several upstreams at
 * one address only the one with the latest start is used. Readers get an immutable list for each
 * service; all lists are replaced at once. Thread-safe.
 */
public final class UpstreamTable {

  private static final long SILENCE_EVICTION_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final Map<String, Upstream> byId = new HashMap<>();
  private volatile Map<String, List<Upstream>> byService = Map.of();

  /**
   * Merges a report.
   *
   * @param reportedAtNanos when the upstream sent it, on this router's clock
   * @return whether the report was a new incarnation or changed the state of the upstream
   */
  public synchronized boolean accept(UpstreamReport report, long reportedAtNanos) {
    Upstream current = byId.get(report.id());
    if (current == null || report.startedAtMillis() > current.startedAtMillis()) {
      return replace(current, report, reportedAtNanos);
    }
    if (!report.supersedes(current.report())) {
      return false;
    }
    State previousState = current.report().state();
    UpstreamReport merged =
        report.service().isEmpty() ? current.report().withState(State.GONE) : report;
    current.updateReport(merged, reportedAtNanos);
    if (previousState == merged.state()) {
      return false;
    }
    rebuild();
    return true;
  }

  /** Replaces an upstream by a new incarnation, or marks it as gone if no service is named. */
  private boolean replace(Upstream current, UpstreamReport report, long reportedAtNanos) {
    // A departure without a service comes from a control daemon that had no report of the upstream.
    boolean isBareDeparture = report.service().isEmpty();
    if (isBareDeparture && current != null) {
      current.updateReport(current.report().withState(State.GONE), reportedAtNanos);
    } else {
      byId.put(report.id(), new Upstream(report, reportedAtNanos));
    }
    rebuild();
    return true;
  }

  /** Evicts upstreams without a recent report. */
  public synchronized void evictSilent(long nowNanos) {
    if (byId.values()
        .removeIf(upstream -> !upstream.hasReportedAfter(nowNanos - SILENCE_EVICTION_NANOS))) {
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

  /** Returns all known upstreams in any state. */
  public synchronized List<Upstream> all() {
    return List.copyOf(byId.values());
  }
}
