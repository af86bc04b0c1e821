package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * Limit of the requests that one incarnation of an upstream takes from all routers together, as it
 * names it in its responses, and what this router may send of them.
 *
 * <p>The router saves up its part of the limit over time and needs a whole request saved for each
 * one that it sends. All routers together have about half a second's worth saved at most, so that a
 * burst that reaches all of them exceeds the limit by little. Where there are many routers, the
 * part of one is less than a request in that time; it then holds a saved request for that time only
 * and starts to save anew. The first amount is random, so that the routers do not hold theirs at
 * the same moment.
 *
 * <p>The newest response decides whether there is a limit. Thread-safe; does no I/O.
 */
public final class RequestLimit {

  /** Smallest limit applied, so that a response can tell that a limit has ended. */
  private static final double MIN_REQUESTS_PER_SECOND = 0.25;

  /** Time for which requests are saved up. */
  private static final double MAX_SAVED_SECONDS = 0.5;

  /** Requests that all routers together may hold beyond what they save up in a second. */
  private static final int MAX_HELD_REQUESTS = 4;

  private static final double NANOS_PER_SECOND = 1e9;

  private final DoubleSupplier random;

  /** Whether there was a limit at any time; responses without one are ignored before that. */
  private volatile boolean everNamed;

  private OptionalDouble named = OptionalDouble.empty();
  private long noticedAt;
  private double saved;
  private long savedAt;

  /** Creates an object without a limit; {@code random} returns numbers from 0 to 1. */
  RequestLimit(DoubleSupplier random) {
    this.random = random;
  }

  /** Returns a copy that changes independently. */
  public synchronized RequestLimit copy() {
    RequestLimit copy = new RequestLimit(random);
    copy.everNamed = everNamed;
    copy.named = named;
    copy.noticedAt = noticedAt;
    copy.saved = saved;
    copy.savedAt = savedAt;
    return copy;
  }

  /**
   * What the newest response said. Immutable.
   *
   * @param requestsPerSecond limit for all routers together; empty if none was named
   * @param atNanos time of the response on this router's clock
   */
  public record Notice(OptionalDouble requestsPerSecond, long atNanos) {}

  /**
   * A router's part of a limit. Immutable.
   *
   * @param fraction fraction of the limit for this router
   * @param routers number of routers that share it
   */
  public record Part(double fraction, int routers) {}

  /**
   * Takes over what a response said, unless a newer one is known.
   *
   * @return whether the limit is another one now
   */
  public boolean update(Notice notice) {
    if (!everNamed && notice.requestsPerSecond().isEmpty()) {
      return false;
    }
    return apply(notice);
  }

  private synchronized boolean apply(Notice notice) {
    if (everNamed && notice.atNanos() - noticedAt < 0) {
      return false;
    }
    boolean changed = !named.equals(notice.requestsPerSecond());
    if (named.isEmpty() && changed) {
      saved = random.getAsDouble();
      savedAt = notice.atNanos();
    }
    named = notice.requestsPerSecond();
    noticedAt = notice.atNanos();
    everNamed = true;
    return changed;
  }

  /** Returns whether the newest response named a limit. */
  public boolean isNamed() {
    return everNamed && named().isPresent();
  }

  private synchronized OptionalDouble named() {
    return named;
  }

  /** Returns what the newest response said; empty if no limit was named since the start. */
  public synchronized Optional<Notice> notice() {
    return everNamed ? Optional.of(new Notice(named, noticedAt)) : Optional.empty();
  }

  /** Returns whether this router may send a request now. */
  public boolean permits(long nowNanos, Part part) {
    return waitMillis(nowNanos, part) == 0;
  }

  /** Returns the time until this router may send a request if it sends none before that. */
  public long waitMillis(long nowNanos, Part part) {
    return everNamed ? computeWaitMillis(nowNanos, part) : 0;
  }

  private synchronized long computeWaitMillis(long nowNanos, Part part) {
    if (named.isEmpty()) {
      return 0;
    }
    double rate = rate(part);
    save(nowNanos, rate, part.routers() <= rate / part.fraction() + MAX_HELD_REQUESTS);
    double seconds = Math.max(0, 1 - saved) / rate;
    double maxSeconds = TimeUnit.DAYS.toSeconds(1);
    return (long) Math.ceil(Math.min(maxSeconds, seconds) * TimeUnit.SECONDS.toMillis(1));
  }

  /** Returns what this router may send, in requests a second; infinite without a limit. */
  public synchronized double requestsPerSecond(Part part) {
    return named.isPresent() ? rate(part) : Double.POSITIVE_INFINITY;
  }

  private double rate(Part part) {
    return Math.max(MIN_REQUESTS_PER_SECOND, named.getAsDouble()) * part.fraction();
  }

  private void save(long nowNanos, double rate, boolean holds) {
    saved += Math.max(0, nowNanos - savedAt) / NANOS_PER_SECOND * rate;
    savedAt = nowNanos;
    double max = 1 + MAX_SAVED_SECONDS * rate;
    if (saved > max) {
      saved = holds || rate >= 1 ? max : (saved - max) % 1 + max - 1;
    }
  }

  /** Records a request that this router sends to the upstream. */
  public void recordSent() {
    if (everNamed) {
      deduct();
    }
  }

  private synchronized void deduct() {
    if (named.isPresent()) {
      saved--;
    }
  }
}
