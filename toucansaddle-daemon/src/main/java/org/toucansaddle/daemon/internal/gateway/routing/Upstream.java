package org.toucansaddle.daemon.internal.gateway.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.toucansaddle.coordination.pacing.UpstreamPace;
import org.toucansaddle.coordination.pacing.WarmUpState;
import org.toucansaddle.coordination.upstream.SpeedEstimate.Sums;
import org.toucansaddle.coordination.upstream.UpstreamCondition;
import org.toucansaddle.coordination.upstream.UpstreamCondition.OthersWork;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.toucansaddle.protocol.generated.UpstreamWork;

/**
 * One incarnation of an upstream as seen by this router: its last report and its load.
 *
 * <p>Thread-safe; values are read one by one, so several of them are no consistent snapshot.
 */
public final class Upstream {

  /** Pause after the first connection failure; each further failure doubles it. */
  private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private static final int MAX_PAUSE_DOUBLINGS = 4;

  /** Time for which an upstream is not used after another one answered at its address. */
  private static final long MISDIRECTED_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final String id;
  private final long idHash;
  private final long startedAtMillis;
  private volatile UpstreamReport report;
  private volatile long lastReportAtNanos;
  private volatile long pausedUntilNanos;
  private volatile long avoidedUntilNanos;
  private volatile int remoteMemoryTokens;
  private final HangDetector hangDetector = new HangDetector();
  private final RequestLimit limit =
      new RequestLimit(() -> ThreadLocalRandom.current().nextDouble());
  private final RequestedPause requestedPause = new RequestedPause();
  private final WarmUpState warmUp;
  private final UpstreamPace pace;
  private final AtomicBoolean malformedNoticed = new AtomicBoolean();
  private volatile boolean leaving;
  private final AtomicInteger connectionFailures = new AtomicInteger();
  private final UpstreamCondition condition = new UpstreamCondition();
  private final AtomicLong localMemoryTokens = new AtomicLong();

  Upstream(UpstreamReport report, long lastReportAtNanos, long notBeforeNanos, UpstreamPace pace) {
    this.id = report.id();
    this.idHash = Hashing.komihash5_0().hashCharsToLong(id);
    this.startedAtMillis = report.startedAtMillis();
    this.report = report;
    this.lastReportAtNanos = lastReportAtNanos;
    this.pace = pace;
    this.warmUp = WarmUpState.unreported(lastReportAtNanos);
    updateWarmUp(report, lastReportAtNanos, notBeforeNanos);
  }

  /** Returns the identity that requests expect of the upstream. */
  public String id() {
    return id;
  }

  /** Returns a hash of the identity, equal on all routers. */
  public long idHash() {
    return idHash;
  }

  /** Returns the start time of this incarnation, in milliseconds since 1970. */
  public long startedAtMillis() {
    return startedAtMillis;
  }

  /** Returns a name of this incarnation; an upstream may start again under its id. */
  public String incarnation() {
    return id + "@" + startedAtMillis;
  }

  /** Returns the last report of the upstream. */
  public UpstreamReport report() {
    return report;
  }

  /** Returns the time of the last report on this router's clock, in nanoseconds. */
  public long lastReportAtNanos() {
    return lastReportAtNanos;
  }

  void updateReport(UpstreamReport newReport, long reportedAtNanos, long notBeforeNanos) {
    report = newReport;
    lastReportAtNanos = Math.max(lastReportAtNanos, reportedAtNanos);
    updateWarmUp(newReport, reportedAtNanos, notBeforeNanos);
  }

  private void updateWarmUp(UpstreamReport newReport, long reportedAtNanos, long notBeforeNanos) {
    newReport
        .warmUpMillis()
        .ifPresent(
            millis ->
                warmUp.report(
                    new WarmUpState.Report(
                        newReport.sequence(), millis, reportedAtNanos, notBeforeNanos)));
  }

  /** Returns whether this incarnation is cold, as far as this router knows. */
  public WarmUpState warmUp() {
    return warmUp;
  }

  /** Returns how many requests this incarnation gets after it has started or recovered. */
  public UpstreamPace pace() {
    return pace;
  }

  /** Returns whether new requests may be sent to the upstream. */
  public boolean isUsable(long nowNanos) {
    return report.state() == State.READY && !leaving && nowNanos - pausedUntilNanos >= 0;
  }

  /** Returns whether this incarnation said in a response that it leaves; this is final. */
  public boolean isLeaving() {
    return leaving;
  }

  /** Returns whether this incarnation has announced that it takes no more requests. */
  public boolean announcesEnd() {
    return leaving || report().state() != State.READY;
  }

  /** Records that this incarnation leaves; returns whether that was not known. */
  synchronized boolean markLeaving() {
    boolean isNew = !leaving;
    leaving = true;
    return isNew;
  }

  /** Returns whether nothing malformed was noticed of this incarnation before. */
  public boolean isFirstMalformedNotice() {
    return malformedNoticed.compareAndSet(false, true);
  }

  /** Returns the pause that this incarnation asked of this router. */
  public RequestedPause requestedPause() {
    return requestedPause;
  }

  /** Returns whether this incarnation wants none of this router's requests now. */
  public boolean turnsAway(long nowNanos) {
    return leaving || requestedPause.isActive(nowNanos);
  }

  /** Returns the detector of stuck requests at the upstream. */
  public HangDetector hangDetector() {
    return hangDetector;
  }

  /** Returns the limit of the requests that this incarnation takes. */
  public RequestLimit limit() {
    return limit;
  }

  /** Returns whether the last report is later than a time of this router's clock. */
  boolean hasReportedAfter(long nanos) {
    return lastReportAtNanos - nanos > 0;
  }

  /** Records a connection failure and pauses the upstream for a time that grows with failures. */
  public void markUnreachable(long nowNanos) {
    warmUp.doubt(nowNanos);
    pace.restart(nowNanos);
    pausedUntilNanos = nowNanos + nextPauseNanos();
  }

  /**
   * Records that the upstream was reached but broke its response. It is avoided for as long as one
   * that is not reached is paused.
   */
  public void markBroken(long nowNanos) {
    warmUp.doubt(nowNanos);
    pace.restart(nowNanos);
    avoidedUntilNanos = nowNanos + nextPauseNanos();
  }

  private long nextPauseNanos() {
    int doublings = Math.min(connectionFailures.getAndIncrement(), MAX_PAUSE_DOUBLINGS);
    return FIRST_PAUSE_NANOS << doublings;
  }

  /** Returns whether other upstreams are preferred, since this one broke a response lately. */
  public boolean isAvoided(long nowNanos) {
    return nowNanos - avoidedUntilNanos < 0;
  }

  /** Records that the upstream answered, which resets the pause after connection failures. */
  public void markReachable() {
    connectionFailures.set(0);
  }

  /** Records that another upstream answered at this address and pauses the upstream. */
  public void markMisdirected(long nowNanos) {
    pausedUntilNanos = nowNanos + MISDIRECTED_PAUSE_NANOS;
  }

  /**
   * Records a request sent to the upstream.
   *
   * @param tokens prompt tokens that the upstream has to process
   * @param memoryTokens tokens that the request occupies in the memory of the upstream
   */
  public void recordRequestStarted(int tokens, int memoryTokens) {
    limit.recordSent();
    condition.requestStarted(tokens);
    localMemoryTokens.addAndGet(memoryTokens);
  }

  /** Records that the prompt of a request, with this many pending tokens, was processed. */
  public void recordPromptProcessed(int tokens) {
    condition.promptRead(tokens);
  }

  /** Records the end of a request that occupied this many tokens in memory. */
  public void recordRequestEnded(int memoryTokens) {
    condition.requestEnded();
    localMemoryTokens.addAndGet(-memoryTokens);
  }

  /** Replaces the load of the other routers at the upstream. */
  void updateRemoteWork(UpstreamWork work, long ageNanos, long nowNanos) {
    Sums speed = new Sums(work.getObservedMillis(), work.getNominalMillis());
    condition.updateOthers(
        new OthersWork(work.getRequests(), work.getPendingTokens(), speed), ageNanos, nowNanos);
    remoteMemoryTokens = work.getMemoryTokens();
  }

  /** Returns the number of this router's requests under way at the upstream. */
  public int localRequests() {
    return condition.localRequests();
  }

  /** Returns this router's prompt tokens that the upstream has not processed yet. */
  public long localPendingTokens() {
    return condition.localPendingTokens();
  }

  /** Returns the tokens that this router's requests occupy in the memory of the upstream. */
  public long localMemoryTokens() {
    return localMemoryTokens.get();
  }

  /** Returns the tokens in memory for all routers, the others' as last reported. */
  public long memoryTokens() {
    return localMemoryTokens.get() + remoteMemoryTokens;
  }

  /** Returns the number of all routers' requests under way, as last reported by it or them. */
  public int requests(long nowNanos) {
    return condition.requests(nowNanos);
  }

  /** Returns the load and the speed of this incarnation. */
  public UpstreamCondition condition() {
    return condition;
  }

  /** Returns the unprocessed prompt tokens of all routers, as last reported by it or them. */
  public long pendingTokens(long nowNanos) {
    return condition.pendingTokens(nowNanos);
  }
}
