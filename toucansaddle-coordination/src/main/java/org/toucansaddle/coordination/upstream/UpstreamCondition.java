package org.toucansaddle.coordination.upstream;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.coordination.upstream.SpeedEstimate.Sums;

/**
 * The condition of one start of an upstream as a router knows it: its load by its own words, by
 * this router's count and by the other routers', and its speed.
 *
 * <pre>{@code
 * condition.recordTold(load, now);
 * int requests = condition.requests();
 * double millis = condition.multiple(usual, now) * nominalMillis;
 * }</pre>
 *
 * <p>Of two words of the upstream the newer one counts, wherever it was heard. It replaces the
 * other routers' count where it is newer. Times are nanoseconds of one clock. Thread-safe; does no
 * I/O.
 */
public final class UpstreamCondition {

  /** Age from which the told time of work has no effect; it changes many times a second. */
  private static final long MAX_WORK_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Nominal time by which the usual multiple of a service counts, in milliseconds. */
  private static final double PRIOR_MILLIS = 300;

  private static final double MIN_MULTIPLE = 0.2;
  private static final double MAX_MULTIPLE = 8;
  private static final double PERCENT = 100;

  private final SpeedEstimate speed = new SpeedEstimate();
  private Optional<Told> told = Optional.empty();
  private int local;
  private int others;
  private long othersAt;
  private Sums othersSpeed = Sums.NONE;

  /**
   * A word of the upstream. Immutable.
   *
   * @param load what it said
   * @param atNanos when it said it
   * @param localThen this router's requests there at that time
   */
  public record Told(ToldLoad load, long atNanos, int localThen) {}

  /**
   * Takes over what the upstream said, unless a newer word is known.
   *
   * @return whether it was taken over
   */
  public synchronized boolean recordTold(ToldLoad load, long atNanos) {
    if (told.isPresent() && atNanos - told.get().atNanos() <= 0) {
      return false;
    }
    told = Optional.of(new Told(load, atNanos, local));
    return true;
  }

  /** Returns the newest word of the upstream, whatever its age. */
  public synchronized Optional<Told> told() {
    return told;
  }

  /** Records the start of a request of this router. */
  public synchronized void requestStarted() {
    local++;
  }

  /** Records the end of a request of this router. */
  public synchronized void requestEnded() {
    local--;
  }

  /** Replaces what the other routers report. */
  public synchronized void updateOthers(int requests, Sums otherSpeed, long nowNanos) {
    others = requests;
    othersSpeed = otherSpeed;
    othersAt = nowNanos;
  }

  /** Returns this router's requests there. */
  public synchronized int localRequests() {
    return local;
  }

  /** Returns the requests of all routers there, as far as known. */
  public synchronized int requests() {
    int counted = local + others;
    return told.filter(word -> word.atNanos() - othersAt >= 0)
        .map(word -> Math.max(local, word.load().requests() + local - word.localThen()))
        .orElse(counted);
  }

  /** Records the time to the first token of a request of this router, in milliseconds. */
  public void recordTime(double observedMillis, double nominalMillis, long nowNanos) {
    speed.record(observedMillis, nominalMillis, nowNanos);
  }

  /** Returns the sums of this router's recent times. */
  public Sums localSpeed(long nowNanos) {
    return speed.sums(nowNanos);
  }

  /**
   * Returns how long work takes there, as a multiple of the nominal time.
   *
   * @param usual multiple of all upstreams of the service
   */
  public double multiple(double usual, long nowNanos) {
    Sums sums = speed.sums(nowNanos);
    synchronized (this) {
      double learned = sums.plus(othersSpeed).multiple(usual, PRIOR_MILLIS);
      double now = Math.max(learned, usual * toldWork(nowNanos));
      return Math.max(MIN_MULTIPLE, Math.min(MAX_MULTIPLE, now));
    }
  }

  /** Returns the told time of work as a multiple of the usual one; 0 if none was told lately. */
  private double toldWork(long nowNanos) {
    OptionalInt percent =
        told.filter(word -> nowNanos - word.atNanos() < MAX_WORK_AGE_NANOS)
            .map(word -> word.load().workPercent())
            .orElse(OptionalInt.empty());
    return percent.isPresent() ? percent.getAsInt() / PERCENT : 0;
  }
}
