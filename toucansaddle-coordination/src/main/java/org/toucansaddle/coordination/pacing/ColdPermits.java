package org.toucansaddle.coordination.pacing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The permits of one router for requests to cold upstreams, and what it asks for.
 *
 * <pre>{@code
 * if (!permits.holds("u1", start, now)) {
 *   permits.recordPassedOver("service", "u1", start);
 * }
 * report.addAll(permits.takeAsks());
 * long number = permits.recordReport(now);
 * }</pre>
 *
 * <p>A permit is counted from the sending of the report that it answers, so that one which arrives
 * late expires early; one that arrives twice counts once. Times are nanoseconds of one clock.
 * Thread-safe; does no I/O.
 */
public final class ColdPermits {

  /** Reports whose answers are accepted; more follow each other within the life of a permit. */
  private static final int MAX_REPORTS = 256;

  private static final int MAX_ASKS = 512;

  private final Map<Start, ColdAsk> passedOver = new HashMap<>();
  private final Map<Long, Long> sentAtByReport = new HashMap<>();
  private final Deque<Long> reports = new ArrayDeque<>();
  private final Map<Start, Deque<Long>> expiries = new HashMap<>();
  private final Map<Long, Set<Start>> answered = new HashMap<>();
  private long lastReport;

  private record Start(String upstream, long startedAtMillis) {}

  /** Records that a request would have gone to a cold upstream if there were a permit. */
  public synchronized void recordPassedOver(String service, String upstream, long startedAtMillis) {
    Start start = new Start(upstream, startedAtMillis);
    ColdAsk ask = passedOver.get(start);
    if (ask != null || passedOver.size() < MAX_ASKS) {
      int requests = ask == null ? 1 : ask.requests() + 1;
      passedOver.put(start, new ColdAsk(service, upstream, startedAtMillis, requests));
    }
  }

  /** Returns what the next report asks for, and forgets it. */
  public synchronized List<ColdAsk> takeAsks() {
    List<ColdAsk> asks = List.copyOf(passedOver.values());
    passedOver.clear();
    return asks;
  }

  /** Returns the number of a report that is sent now. */
  public synchronized long recordReport(long nowNanos) {
    lastReport++;
    sentAtByReport.put(lastReport, nowNanos);
    reports.addLast(lastReport);
    while (reports.size() > MAX_REPORTS) {
      long oldest = reports.removeFirst();
      sentAtByReport.remove(oldest);
      answered.remove(oldest);
    }
    return lastReport;
  }

  /** Returns when a report was sent; empty if its number is unknown or was forgotten. */
  public synchronized OptionalLong sentAt(long report) {
    Long at = sentAtByReport.get(report);
    return at == null ? OptionalLong.empty() : OptionalLong.of(at);
  }

  /** Takes over a permit; one for an unknown report, or received before, is ignored. */
  public synchronized void receive(ColdPermit permit, long nowNanos) {
    Long sentAt = sentAtByReport.get(permit.report());
    if (sentAt == null) {
      return;
    }
    Start start = new Start(permit.upstream(), permit.startedAtMillis());
    if (!answered.computeIfAbsent(permit.report(), key -> new HashSet<>()).add(start)) {
      return;
    }
    long expiry = sentAt + TimeUnit.MILLISECONDS.toNanos(permit.validMillis());
    if (nowNanos - expiry < 0) {
      Deque<Long> held = expiries.computeIfAbsent(start, key -> new ArrayDeque<>());
      for (int i = 0; i < permit.requests(); i++) {
        held.addLast(expiry);
      }
    }
    forgetExpired(nowNanos);
  }

  private void forgetExpired(long nowNanos) {
    Iterator<Deque<Long>> all = expiries.values().iterator();
    while (all.hasNext()) {
      Deque<Long> held = all.next();
      held.removeIf(expiry -> nowNanos - expiry >= 0);
      if (held.isEmpty()) {
        all.remove();
      }
    }
  }

  /** Returns whether a request may be sent to a cold upstream now. */
  public synchronized boolean holds(String upstream, long startedAtMillis, long nowNanos) {
    Deque<Long> held = expiries.get(new Start(upstream, startedAtMillis));
    return held != null && held.stream().anyMatch(expiry -> nowNanos - expiry < 0);
  }

  /** Uses up the permit for a request that is sent now; returns false if there is none. */
  public boolean take(String upstream, long startedAtMillis, long nowNanos) {
    return reserve(upstream, startedAtMillis, nowNanos).isPresent();
  }

  /**
   * Uses up the permit for a request that is sent once there is a connection.
   *
   * @return time from which it must not be sent any more; empty if there is no permit
   */
  public synchronized OptionalLong reserve(String upstream, long startedAtMillis, long nowNanos) {
    Deque<Long> held = expiries.get(new Start(upstream, startedAtMillis));
    while (held != null && !held.isEmpty()) {
      long expiry = held.removeFirst();
      if (nowNanos - expiry < 0) {
        return OptionalLong.of(expiry);
      }
    }
    return OptionalLong.empty();
  }

  /** Returns the number of requests that may be sent, some of which may have expired. */
  public synchronized int heldCount() {
    return expiries.values().stream().mapToInt(Deque::size).sum();
  }
}
