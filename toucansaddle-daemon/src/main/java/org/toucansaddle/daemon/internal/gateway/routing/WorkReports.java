package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.pacing.UpstreamPace.Evidence;
import org.toucansaddle.coordination.sharing.ReportInterval;
import org.toucansaddle.coordination.upstream.ReportedLoad;
import org.toucansaddle.coordination.upstream.SpeedEstimate.Sums;
import org.toucansaddle.coordination.upstream.UpstreamCondition.LoadReport;
import org.toucansaddle.daemon.internal.gateway.routing.HangDetector.RequestCounts;
import org.toucansaddle.daemon.internal.gateway.routing.RequestLimit.Notice;
import org.toucansaddle.protocol.generated.LimitNotice;
import org.toucansaddle.protocol.generated.LoadNotice;
import org.toucansaddle.protocol.generated.PaceEvidence;
import org.toucansaddle.protocol.generated.UpstreamWork;

/**
 * What routers tell each other about the upstreams that they send requests to.
 *
 * <p>What another router says counts only for the incarnation that it names. Thread-safe.
 */
final class WorkReports {

  private static final Logger LOG = LoggerFactory.getLogger(WorkReports.class);

  /** Decayed count of stuck requests up to which an upstream without requests is not reported. */
  private static final double MIN_REPORTED_STUCK = 0.05;

  /** Nominal time of recent requests up to which an upstream without others is not reported. */
  private static final double MIN_REPORTED_MILLIS = 5;

  private final UpstreamTable upstreams;
  private final IntSupplier routers;
  private final PacedUpstreams paced;

  WorkReports(UpstreamTable upstreams, IntSupplier routers, PacedUpstreams paced) {
    this.upstreams = upstreams;
    this.routers = routers;
    this.paced = paced;
  }

  /** Returns what this router reports of its requests at each upstream. */
  List<UpstreamWork> local(long now) {
    List<UpstreamWork> works = new ArrayList<>();
    for (Upstream upstream : upstreams.all()) {
      RequestCounts counts = upstream.hangDetector().localCounts(now);
      Optional<LimitNotice> limit = upstream.limit().notice().map(n -> encode(n, upstream, now));
      Optional<LoadNotice> load = freshLoad(upstream, now);
      Sums speed = upstream.condition().localSpeed(now);
      if (upstream.localRequests() > 0
          || counts.stuck() > MIN_REPORTED_STUCK
          || limit.isPresent()
          || load.isPresent()
          || speed.nominal() > MIN_REPORTED_MILLIS
          || upstream.pace().isReported(now)) {
        UpstreamWork.Builder work =
            UpstreamWork.newBuilder()
                .setUpstream(upstream.id())
                .setRequests(upstream.localRequests())
                .setPendingTokens((int) Math.max(0, upstream.localPendingTokens()))
                .setMemoryTokens((int) Math.max(0, upstream.localMemoryTokens()))
                .setStuck((float) counts.stuck())
                .setAnswered((float) counts.answered())
                .setObservedMillis((float) speed.observed())
                .setNominalMillis((float) speed.nominal());
        limit.ifPresent(work::setLimit);
        load.ifPresent(work::setLoad);
        if (upstream.pace().isReported(now)) {
          work.setPace(encodePace(upstream, now));
        }
        works.add(work.build());
      }
    }
    return works;
  }

  /** Returns the newest load report of an upstream if it was received by this router. */
  private static Optional<LoadNotice> freshLoad(Upstream upstream, long now) {
    return upstream
        .condition()
        .loadReport(now)
        .filter(LoadReport::fromResponse)
        .map(
            report -> {
              LoadNotice.Builder notice =
                  LoadNotice.newBuilder()
                      .setRunning(report.load().running())
                      .setWaiting(report.load().waiting())
                      .setSlots(report.load().slots())
                      .setAgeMillis(ageMillis(report.atNanos(), now))
                      .setStartedAtMillis(upstream.startedAtMillis());
              report.load().workPercent().ifPresent(notice::setWorkPercent);
              return notice.build();
            });
  }

  private static LimitNotice encode(Notice notice, Upstream upstream, long now) {
    LimitNotice.Builder encoded =
        LimitNotice.newBuilder()
            .setAgeMillis(ageMillis(notice.atNanos(), now))
            .setStartedAtMillis(upstream.startedAtMillis());
    notice.requestsPerSecond().ifPresent(encoded::setRequestsPerSecond);
    return encoded.build();
  }

  private static PaceEvidence encodePace(Upstream upstream, long now) {
    Evidence evidence = upstream.pace().evidence();
    PaceEvidence.Builder encoded =
        PaceEvidence.newBuilder()
            .setStartedAtMillis(upstream.startedAtMillis())
            .setKeptPace(evidence.kept())
            .setFellBehind(evidence.behind());
    if (evidence.behind() > 0) {
      encoded.setFellBehindAgeMillis(ageMillis(evidence.behindAtNanos(), now));
    }
    return encoded.build();
  }

  private static int ageMillis(long nanos, long now) {
    return (int) Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(now - nanos));
  }

  /** Replaces what the other routers say. */
  void mergeRemote(List<UpstreamWork> works, long now) {
    Map<String, UpstreamWork> byId = new HashMap<>();
    works.forEach(work -> byId.put(work.getUpstream(), work));
    long ageNanos = ReportInterval.meanAgeNanos(routers.getAsInt());
    for (Upstream upstream : upstreams.all()) {
      UpstreamWork work = byId.getOrDefault(upstream.id(), UpstreamWork.getDefaultInstance());
      upstream.updateRemoteWork(work, ageNanos, now);
      if (work.hasLoad() && work.getLoad().getStartedAtMillis() == upstream.startedAtMillis()) {
        mergeLoad(upstream, work.getLoad(), now);
      }
      if (work.hasLimit()) {
        mergeLimit(upstream, work.getLimit(), now);
      }
      if (work.hasPace() && work.getPace().getStartedAtMillis() == upstream.startedAtMillis()) {
        mergePace(upstream, work.getPace(), now);
      }
      RequestCounts remoteCounts = new RequestCounts(work.getStuck(), work.getAnswered());
      if (upstream.hangDetector().updateRemoteCounts(remoteCounts, now)) {
        LOG.info(
            "upstream {} is paused: recent requests of other routers: {} stuck, {} answered",
            upstream.id(),
            work.getStuck(),
            work.getAnswered());
      }
    }
  }

  private static void mergeLoad(Upstream upstream, LoadNotice notice, long now) {
    ReportedLoad load =
        new ReportedLoad(
            notice.getRunning(),
            notice.getWaiting(),
            notice.getSlots(),
            notice.hasWorkPercent()
                ? OptionalInt.of(notice.getWorkPercent())
                : OptionalInt.empty());
    long reportedAt = now - TimeUnit.MILLISECONDS.toNanos(notice.getAgeMillis());
    if (load.isPlausible()) {
      upstream.condition().recordLoadFromOthers(load, reportedAt);
    }
  }

  private void mergePace(Upstream upstream, PaceEvidence sum, long now) {
    long behindAt = now - TimeUnit.MILLISECONDS.toNanos(sum.getFellBehindAgeMillis());
    Evidence evidence = new Evidence(sum.getKeptPace(), sum.getFellBehind(), behindAt);
    paced.mergeOthers(upstream, evidence, now);
  }

  private static void mergeLimit(Upstream upstream, LimitNotice notice, long now) {
    if (notice.getStartedAtMillis() != upstream.startedAtMillis()) {
      return;
    }
    OptionalDouble named =
        notice.hasRequestsPerSecond()
            ? OptionalDouble.of(notice.getRequestsPerSecond())
            : OptionalDouble.empty();
    long noticedAt = now - TimeUnit.MILLISECONDS.toNanos(notice.getAgeMillis());
    recordLimit(upstream, new Notice(named, noticedAt), "other routers");
  }

  /** Takes over what an upstream said of its limit; {@code source} is for the log. */
  static void recordLimit(Upstream upstream, Notice notice, String source) {
    if (upstream.limit().update(notice)) {
      OptionalDouble named = notice.requestsPerSecond();
      LOG.info(
          "upstream {} takes {} requests a second from all routers, known from {}",
          upstream.id(),
          named.isPresent() ? named.getAsDouble() : "any number of",
          source);
    }
  }
}
