package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;

/**
 * The upstreams a router knows, merged from what several control daemons tell.
 *
 * <p>For each id the latest start and sequence holds; of two at one address only the later start is
 * used. Readers see an immutable list for each service, swapped as a whole. Thread-safe.
 */
public final class UpstreamTable {

  private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final Map<String, Upstream> byId = new HashMap<>();
  private volatile Map<String, List<Upstream>> byService = Map.of();

  /**
   * Takes a report.
   *
   * @param heardAtNanos when the upstream sent it, on this router's clock
   * @return whether it changed which upstreams take requests
   */
  public synchronized boolean accept(UpstreamReport report, long heardAtNanos) {
    Upstream held = byId.get(report.id());
    if (held == null || report.startedAtMillis() > held.startedAtMillis()) {
      return replace(held, report, heardAtNanos);
    }
    if (!report.supersedes(held.report())) {
      return false;
    }
    State before = held.report().state();
    UpstreamReport kept = report.service().isEmpty() ? held.report().withState(State.GONE) : report;
    held.updateReport(kept, heardAtNanos);
    if (before == kept.state()) {
      return false;
    }
    rebuild();
    return true;
  }

  /** A farewell that names no service comes from a daemon that knew nothing of the upstream. */
  private boolean replace(Upstream held, UpstreamReport report, long heardAtNanos) {
    boolean namesNothing = report.service().isEmpty();
    if (namesNothing && held != null) {
      held.updateReport(held.report().withState(State.GONE), heardAtNanos);
    } else {
      byId.put(report.id(), new Upstream(report, heardAtNanos));
    }
    rebuild();
    return true;
  }

  /** Forgets upstreams that were silent for long. */
  public synchronized void evictSilent(long nowNanos) {
    if (byId.values().removeIf(upstream -> !upstream.hasReportedAfter(nowNanos - FORGET_NANOS))) {
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

  /** Returns the upstreams of a service that said they are ready. */
  public List<Upstream> ready(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Returns all upstreams known. */
  public synchronized List<Upstream> all() {
    return List.copyOf(byId.values());
  }
}
