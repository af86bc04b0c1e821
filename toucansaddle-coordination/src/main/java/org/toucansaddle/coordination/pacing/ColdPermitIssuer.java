package org.toucansaddle.coordination.pacing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.ToDoubleFunction;

/**
 * Issues permits for requests to cold upstreams, for all routers that ask this daemon.
 *
 * <pre>{@code
 * List<ColdPermit> permits = issuer.issue(report.number(), asks, ratesByService::get);
 * }</pre>
 *
 * <p>Invariant: for each start of an upstream at most half of its rate is permitted, and one
 * request more. A permit lasts {@link #VALID_MILLIS} from a moment before it was issued, so the
 * requests of any second were permitted within that time and a second. Two issuers that do not know
 * of each other therefore stay below 1.8 of the rate and two requests. A third one never issues: of
 * all control daemons, in touch or not, only two may. Thread-safe; does no I/O.
 */
public final class ColdPermitIssuer {

  /** Time for which a permit is valid, from the sending of the report that asked for it. */
  public static final int VALID_MILLIS = 800;

  /** Part of the rate that one issuer permits; routers may disagree on who issues. */
  private static final double RATE_FRACTION = 0.5;

  /** Time without an ask after which a start is forgotten; longer than saving up one request. */
  private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

  private static final double NANOS_PER_SECOND = 1e9;

  /** Control daemons that may issue; the bound of a cold upstream holds for this number. */
  private static final int MAX_ISSUERS = 2;

  private final LongSupplier clock;
  private long issuesFrom;
  private final Map<Start, Allowance> allowances = new HashMap<>();
  private long issued;

  /**
   * Creates an issuer that begins once the permits of an earlier one have expired.
   *
   * @param clock returns nanoseconds
   */
  public ColdPermitIssuer(LongSupplier clock) {
    this.clock = clock;
    deferIssuing();
  }

  private void deferIssuing() {
    issuesFrom =
        clock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(VALID_MILLIS) + (long) NANOS_PER_SECOND;
  }

  /**
   * Takes over the control daemons of the fleet, whether they are alive or not. Unless this daemon
   * has one of the two lowest addresses, it issues nothing until it has, and until the permits of
   * the daemon that it replaces have expired.
   */
  public synchronized void updateDaemons(String self, Collection<String> addresses) {
    long lower = addresses.stream().filter(address -> address.compareTo(self) < 0).count();
    if (lower >= MAX_ISSUERS) {
      deferIssuing();
    }
  }

  private record Start(String upstream, long startedAtMillis) {}

  /** Requests that may be permitted at one start. */
  private static final class Allowance {
    private double saved = 1;
    private long savedAt;

    Allowance(long now) {
      savedAt = now;
    }

    int take(int wanted, double requestsPerSecond, long now) {
      double added = Math.max(0, now - savedAt) / NANOS_PER_SECOND * requestsPerSecond;
      saved = Math.min(1, saved + added);
      savedAt = now;
      int taken = Math.min(wanted, (int) saved);
      saved -= taken;
      return taken;
    }
  }

  /**
   * Answers the asks of one report of a router.
   *
   * @param report number of the report
   * @param ratePerSecond requests a second that cold upstreams of a service take; 0 or less if its
   *     upstreams are never cold
   * @return permits for some of the asks
   */
  public synchronized List<ColdPermit> issue(
      long report, List<ColdAsk> asks, ToDoubleFunction<String> ratePerSecond) {
    long now = clock.getAsLong();
    if (now - issuesFrom < 0) {
      return List.of();
    }
    allowances.values().removeIf(allowance -> now - allowance.savedAt > RETENTION_NANOS);
    List<ColdPermit> permits = new ArrayList<>();
    for (ColdAsk ask : asks) {
      double rate = RATE_FRACTION * ratePerSecond.applyAsDouble(ask.service());
      if (rate > 0) {
        Start start = new Start(ask.upstream(), ask.startedAtMillis());
        int requests =
            allowances
                .computeIfAbsent(start, key -> new Allowance(now))
                .take(ask.requests(), rate, now);
        if (requests > 0) {
          permits.add(
              new ColdPermit(
                  ask.upstream(), ask.startedAtMillis(), requests, VALID_MILLIS, report));
        }
      }
    }
    permits.forEach(permit -> issued += permit.requests());
    return permits;
  }

  /** Returns the number of requests permitted since the start. */
  public synchronized long issuedCount() {
    return issued;
  }
}
