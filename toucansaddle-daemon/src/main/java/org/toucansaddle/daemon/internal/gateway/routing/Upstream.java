package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.toucansaddle.protocol.generated.UpstreamWork;

/**
 * One start of an upstream as this router sees it: its last report and its load.
 *
 * <p>Thread-safe; each figure is read on its own.
 */
public final class Upstream {

  /** First pause after a failure to reach the upstream; each further failure doubles it. */
  private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private static final int MAX_DOUBLINGS = 4;

  /** Time for which an address is passed over where another upstream answered. */
  private static final long ELSEWHERE_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final String id;
  private final long startedAtMillis;
  private volatile UpstreamReport report;
  private volatile long heardAtNanos;
  private volatile long pausedUntilNanos;
  private volatile int otherRequests;
  private volatile int otherPendingTokens;
  private volatile int otherMemoryTokens;
  private final HangDetector order = new HangDetector();
  private final AtomicInteger failures = new AtomicInteger();
  private final AtomicInteger ownRequests = new AtomicInteger();
  private final AtomicLong ownPendingTokens = new AtomicLong();
  private final AtomicLong ownMemoryTokens = new AtomicLong();

  Upstream(UpstreamReport report, long heardAtNanos) {
    this.id = report.id();
    this.startedAtMillis = report.startedAtMillis();
    this.report = report;
    this.heardAtNanos = heardAtNanos;
  }

  /** Returns the identity that requests expect. */
  public String id() {
    return id;
  }

  /** Returns the time of its start, in milliseconds since 1970. */
  public long startedAtMillis() {
    return startedAtMillis;
  }

  /** Returns what it last said of itself. */
  public UpstreamReport report() {
    return report;
  }

  /** Returns when it was last heard, on the router's clock. */
  public long lastReportAtNanos() {
    return heardAtNanos;
  }

  void updateReport(UpstreamReport newReport, long atNanos) {
    report = newReport;
    heardAtNanos = Math.max(heardAtNanos, atNanos);
  }

  /** Returns whether new requests may go there. */
  public boolean isUsable(long nowNanos) {
    return report.state() == State.READY && nowNanos - pausedUntilNanos >= 0;
  }

  /** Returns the order of its answers to this router. */
  public HangDetector hangDetector() {
    return order;
  }

  /** Returns whether it was heard after a moment. */
  boolean hasReportedAfter(long nanos) {
    return heardAtNanos - nanos > 0;
  }

  /** Notes that it could not be reached, and passes it over for a while. */
  public void markUnreachable(long nowNanos) {
    int doublings = Math.min(failures.getAndIncrement(), MAX_DOUBLINGS);
    pausedUntilNanos = nowNanos + (FIRST_PAUSE_NANOS << doublings);
  }

  /** Notes that it answered. */
  public void markReachable() {
    failures.set(0);
  }

  /** Notes that another upstream answered at its address, and passes it over for a while. */
  public void markMisdirected(long nowNanos) {
    pausedUntilNanos = nowNanos + ELSEWHERE_NANOS;
  }

  /** Notes a request sent there, with prompt tokens to read and tokens to keep in memory. */
  public void recordRequestStarted(int tokens, int memoryTokens) {
    ownRequests.incrementAndGet();
    ownPendingTokens.addAndGet(tokens);
    ownMemoryTokens.addAndGet(memoryTokens);
  }

  /** Notes that the prompt of a request was read. */
  public void recordPromptProcessed(int tokens) {
    ownPendingTokens.addAndGet(-tokens);
  }

  /** Notes that a request ended, which kept tokens in memory. */
  public void recordRequestEnded(int memoryTokens) {
    ownRequests.decrementAndGet();
    ownMemoryTokens.addAndGet(-memoryTokens);
  }

  /** Sets what other routers have under way there. */
  void updateRemoteWork(UpstreamWork work) {
    otherRequests = work.getRequests();
    otherPendingTokens = work.getPendingTokens();
    otherMemoryTokens = work.getMemoryTokens();
  }

  /** Returns the requests of this router under way there. */
  public int localRequests() {
    return ownRequests.get();
  }

  /** Returns this router's prompt tokens sent there and not read yet. */
  public long localPendingTokens() {
    return ownPendingTokens.get();
  }

  /** Returns the tokens that this router's requests occupy in its memory. */
  public long localMemoryTokens() {
    return ownMemoryTokens.get();
  }

  /** Returns the tokens that all routers' requests occupy in its memory, others' as last told. */
  public long memoryTokens() {
    return ownMemoryTokens.get() + otherMemoryTokens;
  }

  /** Returns the requests of all routers under way there, others' as last told. */
  public int requests() {
    return ownRequests.get() + otherRequests;
  }

  /** Returns the prompt tokens of all routers that it has not read yet, others' as last told. */
  public long pendingTokens() {
    return ownPendingTokens.get() + otherPendingTokens;
  }
}
