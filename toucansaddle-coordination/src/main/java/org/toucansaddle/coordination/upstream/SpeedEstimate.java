package org.toucansaddle.coordination.upstream;

/**
 * How long the work of an upstream takes as a multiple of the nominal time.
 *
 * <p>The multiple is the sum of recent observed times divided by that of the nominal ones, so that
 * short requests have little weight. Times decay with the time since they were recorded.
 * Thread-safe; does no I/O.
 */
public final class SpeedEstimate {

  /** Time in which a recorded time decays to 1/e. */
  private static final double DECAY_NANOS = 4e9;

  /** Largest multiple of the nominal time that one recorded time counts as. */
  private static final double MAX_SAMPLE = 8;

  private double observed;
  private double nominal;
  private long decayedAt;

  /**
   * Sums of recent times, in milliseconds. Immutable.
   *
   * @param observed times that were observed
   * @param nominal times at the nominal speed
   */
  public record Sums(double observed, double nominal) {

    /** No times. */
    public static final Sums NONE = new Sums(0, 0);

    /** Returns the sums of both. */
    public Sums plus(Sums other) {
      return new Sums(observed + other.observed, nominal + other.nominal);
    }

    /**
     * Returns the multiple of the nominal time, drawn to a usual one while few times are known.
     *
     * @param usual multiple of all upstreams of the service
     * @param priorMillis nominal time by which the usual multiple counts
     */
    public double multiple(double usual, double priorMillis) {
      return (observed + usual * priorMillis) / (nominal + priorMillis);
    }
  }

  /** Returns an observed time, limited so that one outlier does not decide. */
  public static double bounded(double observedMillis, double nominalMillis) {
    return Math.max(0, Math.min(MAX_SAMPLE * nominalMillis, observedMillis));
  }

  /** Records a time, in milliseconds. */
  public synchronized void record(double observedMillis, double nominalMillis, long nowNanos) {
    decay(nowNanos);
    observed += bounded(observedMillis, nominalMillis);
    nominal += nominalMillis;
  }

  /** Returns the sums of recent times. */
  public synchronized Sums sums(long nowNanos) {
    double kept = keptPart(nowNanos);
    return new Sums(kept * observed, kept * nominal);
  }

  private void decay(long nowNanos) {
    double kept = keptPart(nowNanos);
    observed *= kept;
    nominal *= kept;
    decayedAt = nominal > 0 && nowNanos - decayedAt < 0 ? decayedAt : nowNanos;
  }

  private double keptPart(long nowNanos) {
    return nominal > 0 ? Math.exp(-Math.max(0, nowNanos - decayedAt) / DECAY_NANOS) : 1;
  }
}
