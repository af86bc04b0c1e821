package org.toucansaddle.coordination.upstream;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.coordination.upstream.SpeedEstimate.Sums;

/**
 * The condition of one start of an upstream as a router knows it: its load by its own reports, by
 * this router's count and by the other routers', and its speed.
 *
 * <pre>{@code
 * condition.recordLoad(load, now);
 * int requests = condition.requests(now);
 * double millis = condition.multiple(usual, now) * nominalMillis;
 * }</pre>
 *
 * <p>Of two load reports of the upstream the newer one counts, whichever router received it. It
 * replaces the other routers' count where it is newer. Reports and counts have no effect from a
 * certain age on. Times are nanoseconds of one clock. Thread-safe; does no I/O.
 */
public final class UpstreamCondition {

  /** Age from which a reported load has no effect. */
  private static final long MAX_REPORT_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Age from which a reported time of work has no effect; it changes many times a second. */
  private static final long MAX_WORK_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Time from which a sum of the others has no effect unless a newer one arrives. */
  private static final long MAX_SUM_AGE_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Nominal time by which the usual multiple of a service counts, in milliseconds. */
  private static final double PRIOR_MILLIS = 300;

  /** Largest deviation from the usual multiple of a service, in either direction. */
  private static final double MAX_DEVIATION = 8;

  private static final double PERCENT = 100;

  /** Weight of one request in the average number of prompt tokens. */
  private static final double PROMPT_WEIGHT = 0.1;

  /** Requests by which an upstream counts as one that takes them. */
  private static final double PRIOR_REQUESTS = 2;

  private final SpeedEstimate speed = new SpeedEstimate();

  /** Requests that were taken, beside all answered ones. */
  private final SpeedEstimate taken = new SpeedEstimate();

  private Optional<LoadReport> newestReport = Optional.empty();
  private Optional<Others> others = Optional.empty();
  private int local;
  private long localPendingTokens;
  private double averagePrompt;

  /**
   * A load report of the upstream. Immutable.
   *
   * @param load the reported load
   * @param atNanos time of the response
   * @param localRequestsThen this router's requests there when it received the report
   * @param fromResponse whether this router got the response
   */
  public record LoadReport(
      ReportedLoad load, long atNanos, int localRequestsThen, boolean fromResponse) {}

  /**
   * What the other routers count. Immutable.
   *
   * @param requests requests under way
   * @param pendingTokens prompt tokens that the upstream has not read yet
   * @param speed their sums of recent times
   */
  public record OthersWork(int requests, long pendingTokens, Sums speed) {}

  private record Others(OthersWork work, long atNanos) {}

  /** Takes over the load that the upstream reported in a response to this router. */
  public void recordLoad(ReportedLoad load, long atNanos) {
    record(load, atNanos, true);
  }

  /** Takes over the load that the upstream reported to another router, unless newer is known. */
  public void recordLoadFromOthers(ReportedLoad load, long atNanos) {
    record(load, atNanos, false);
  }

  private synchronized void record(ReportedLoad load, long atNanos, boolean fromResponse) {
    if (newestReport.isEmpty() || atNanos - newestReport.get().atNanos() > 0) {
      newestReport = Optional.of(new LoadReport(load, atNanos, local, fromResponse));
    }
  }

  /** Returns the newest load report of the upstream; empty if it is too old to have an effect. */
  public synchronized Optional<LoadReport> loadReport(long nowNanos) {
    return newestReport.filter(report -> nowNanos - report.atNanos() < MAX_REPORT_AGE_NANOS);
  }

  /**
   * Records the start of a request of this router.
   *
   * @param promptTokens tokens that the upstream has to read; 0 if it has no prompt
   */
  public synchronized void requestStarted(int promptTokens) {
    local++;
    localPendingTokens += promptTokens;
    averagePrompt =
        averagePrompt == 0
            ? promptTokens
            : averagePrompt + PROMPT_WEIGHT * (promptTokens - averagePrompt);
  }

  /** Records that the upstream has read a prompt with this many tokens. */
  public synchronized void promptRead(int tokens) {
    localPendingTokens -= tokens;
  }

  /** Records the end of a request of this router. */
  public synchronized void requestEnded() {
    local--;
  }

  /**
   * Replaces what the other routers report.
   *
   * @param ageNanos age of their counts when the sum arrives, in the mean
   */
  public synchronized void updateOthers(OthersWork work, long ageNanos, long nowNanos) {
    others = Optional.of(new Others(work, nowNanos - ageNanos));
  }

  /** Returns this router's requests there. */
  public synchronized int localRequests() {
    return local;
  }

  /** Returns this router's prompt tokens that the upstream has not read yet. */
  public synchronized long localPendingTokens() {
    return localPendingTokens;
  }

  /** Returns the requests of all routers there, as far as known. */
  public synchronized int requests(long nowNanos) {
    return newerReport(nowNanos)
        .map(
            report ->
                Math.max(local, report.load().requests() + local - report.localRequestsThen()))
        .orElse(local + countedOthers(nowNanos).map(OthersWork::requests).orElse(0));
  }

  /**
   * Returns the prompt tokens of all routers that the upstream has not read yet, as far as known.
   * Those of the others shrink with their requests if the upstream reports fewer; what it reports
   * as waiting is not read yet.
   */
  public synchronized long pendingTokens(long nowNanos) {
    OthersWork counted = countedOthers(nowNanos).orElseGet(() -> new OthersWork(0, 0, Sums.NONE));
    Optional<LoadReport> newer = newerReport(nowNanos);
    if (newer.isEmpty()) {
      return localPendingTokens + counted.pendingTokens();
    }
    ReportedLoad load = newer.get().load();
    int reportedOthers = Math.max(0, load.requests() - newer.get().localRequestsThen());
    double kept = Math.min(1, reportedOthers / (double) Math.max(1, counted.requests()));
    long byCount = localPendingTokens + Math.round(kept * counted.pendingTokens());
    return Math.max(byCount, Math.round(load.waiting() * averagePrompt));
  }

  /** Returns the newest load report if it has an effect and is newer than the others' counts. */
  private Optional<LoadReport> newerReport(long nowNanos) {
    return loadReport(nowNanos)
        .filter(report -> others.isEmpty() || report.atNanos() - others.get().atNanos() >= 0);
  }

  /** Returns whether the other routers have told of their requests there, which may be none. */
  public synchronized boolean knowsOthers(long nowNanos) {
    return countedOthers(nowNanos).isPresent();
  }

  private Optional<OthersWork> countedOthers(long nowNanos) {
    return others.filter(sum -> nowNanos - sum.atNanos() < MAX_SUM_AGE_NANOS).map(Others::work);
  }

  /** Records the time to the first token of a request of this router, in milliseconds. */
  public void recordTime(double observedMillis, double nominalMillis, long nowNanos) {
    speed.record(observedMillis, nominalMillis, nowNanos);
  }

  /** Records that the upstream took a request of this router or refused it. */
  public void recordAnswer(boolean wasTaken, long nowNanos) {
    taken.record(wasTaken ? 1 : 0, 1, nowNanos);
  }

  /** Returns the part of this router's recent requests that the upstream took. */
  public double takenPart(long nowNanos) {
    return taken.sums(nowNanos).multiple(1, PRIOR_REQUESTS);
  }

  /** Returns the sums of this router's recent times. */
  public Sums localSpeed(long nowNanos) {
    return speed.sums(nowNanos);
  }

  /** Returns the sums of all routers' recent times, as far as known. */
  public Sums speed(long nowNanos) {
    Sums sums = speed.sums(nowNanos);
    synchronized (this) {
      return countedOthers(nowNanos).map(work -> sums.plus(work.speed())).orElse(sums);
    }
  }

  /**
   * Returns how long work takes there, as a multiple of the nominal time.
   *
   * @param usual multiple of all upstreams of the service
   */
  public double multiple(double usual, long nowNanos) {
    double learned = speed(nowNanos).multiple(usual, PRIOR_MILLIS);
    double now = Math.max(learned, usual * reportedWork(nowNanos));
    return Math.max(usual / MAX_DEVIATION, Math.min(usual * MAX_DEVIATION, now));
  }

  /** Returns the reported time of work as a multiple of the usual one; 0 if none was lately. */
  private synchronized double reportedWork(long nowNanos) {
    OptionalInt percent =
        newestReport
            .filter(report -> nowNanos - report.atNanos() < MAX_WORK_AGE_NANOS)
            .map(report -> report.load().workPercent())
            .orElse(OptionalInt.empty());
    return percent.isPresent() ? percent.getAsInt() / PERCENT : 0;
  }
}
