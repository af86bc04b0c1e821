package org.toucansaddle.coordination.pacing;

import java.util.concurrent.TimeUnit;

/**
 * How many requests all routers together have under way at one start of an upstream that has just
 * started or recovered, found from how it answers.
 *
 * <pre>{@code
 * UpstreamPace pace = UpstreamPace.established(seed, listener, now);
 * pace.begin(now);
 * if (pace.admits(load, true, now)) {
 *   pace.recordSent(now);
 *   ...
 *   pace.recordKept(slots, routers, now);
 * }
 * }</pre>
 *
 * <p>Invariants: the pace is at least {@link #MIN_PACE}; it rises only with a request that kept
 * pace and was not counted before; it is halved at most once for the requests sent at one pace; a
 * restriction ends only with a request that kept pace; while the upstream is cold the pace changes
 * only by this router's failures. Times are nanoseconds of one clock. Thread-safe; does no I/O.
 */
public final class UpstreamPace {

  /** Requests under way at an upstream that has just started, at least. */
  public static final double INITIAL_PACE = 4;

  /** Part of the slots of an upstream that has just started which are used at once. */
  private static final double INITIAL_PART = 0.25;

  /** Part of the slots from which an upstream is established. */
  private static final double ENDING_PART = 0.75;

  /** Requests under way at an upstream after a failure. */
  public static final double RECOVERY_PACE = 1;

  /** Lower bound, which leaves one probe in some steps. */
  public static final double MIN_PACE = 0.25;

  /** Time in which the results of a pace are known to all routers. */
  public static final long ROUND_TRIP_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time without a halving after which a pace near the slots ends. */
  private static final long EARLY_END_NANOS = 3 * ROUND_TRIP_NANOS;

  /** Time for which the same routers may send; the counts of the others are no older. */
  public static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  /** Time for which others' evidence shows that they pace the upstream as well. */
  private static final long OTHERS_VALID_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Time for which evidence is reported after the end, so that other routers end as well. */
  private static final long LINGER_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Time after the first sight of a start in which others' evidence makes it a paced one. */
  private static final long ADOPTION_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Requests that have to keep pace to make up for one that fell behind. */
  private static final int KEPT_FOR_BEHIND = 2;

  /** Bound on what has to be made up for, so that an upstream which recovers is used again. */
  private static final int MAX_DEBT = 8;

  private static final double FRACTION_UNIT = 0x1.0p-53;

  /** What became of a pace. */
  public enum Change {
    BEGUN,
    HALVED,
    ENDED
  }

  /** Gets each change, while the pace is locked. */
  @FunctionalInterface
  public interface Listener {
    /** Takes note of a change and the pace after it. */
    void onChange(Change change, double pace, long nowNanos);
  }

  /**
   * Requests under way at the upstream. Immutable.
   *
   * @param own requests of this router
   * @param all requests of all routers, as far as known
   * @param routers number of routers that send as much to the service as this one, if they sent all
   *     that it gets; the number of routers if nothing is known of that
   */
  public record Load(int own, int all, double routers) {

    /** Weight of a router without requests, in requests; it may get one at any time. */
    private static final double IDLE_WEIGHT = 0.25;

    /** Largest part of a pace, as a multiple of an equal part; counts may be out of date. */
    private static final double MAX_MULTIPLE = 8;

    /**
     * Returns a load at which each router has the part of a pace that it has of the requests under
     * way at the service. The parts of all routers add up to one if they see the same counts.
     *
     * @param serviceOwn requests of this router at all upstreams of the service
     * @param serviceAll requests of all routers there, as far as known
     */
    public static Load byTraffic(int own, int all, int serviceOwn, int serviceAll, int routers) {
      if (serviceAll <= serviceOwn) {
        return new Load(own, all, routers);
      }
      return byParts(own, all, serviceOwn, serviceAll, routers);
    }

    /**
     * Returns the load of a router that has had all requests under way at the service for a while,
     * as the others have told. Without that, one that knows of no others has an equal part, since
     * the others may know of none either.
     *
     * @param serviceOwn requests of this router at all upstreams of the service
     */
    public static Load ofOnlySender(int own, int all, int serviceOwn, int routers) {
      return byParts(own, all, serviceOwn, serviceOwn, routers);
    }

    private static Load byParts(int own, int all, int serviceOwn, int serviceAll, int routers) {
      double like = (serviceAll + IDLE_WEIGHT * routers) / (serviceOwn + IDLE_WEIGHT);
      return new Load(own, all, Math.max(1, Math.max(routers / MAX_MULTIPLE, like)));
    }
  }

  /**
   * Results of requests since the pace began. Immutable.
   *
   * @param kept requests that kept pace
   * @param behind requests that fell behind
   * @param behindAtNanos time of the last request that fell behind; valid if there is one
   */
  public record Evidence(int kept, int behind, long behindAtNanos) {}

  private final boolean enabled;
  private final long seed;
  private final Listener listener;
  private final long seenAt;
  private volatile boolean active;
  private long begunAt;
  private boolean isNewStart;
  private boolean isShared;
  private boolean doubling;
  private double pace;
  private double roundPace;
  private long roundAt;
  private int debt;
  private int kept;
  private int behind;
  private long behindAt;
  private long cutAt;
  private boolean isHeld;
  private boolean wasHeld;
  private long heldAt;
  private long releasedAt;
  private boolean hasEnded;
  private long endedAt;
  private boolean hasSent;
  private long sentInStep;
  private int othersKept;
  private int othersBehind;
  private boolean hasOthers;
  private long othersAt;

  private UpstreamPace(boolean enabled, long seed, Listener listener, long seenAt) {
    this.enabled = enabled;
    this.seed = seed;
    this.listener = listener;
    this.seenAt = seenAt;
  }

  /** Returns a pace that never restricts. */
  public static UpstreamPace disabled() {
    return new UpstreamPace(false, 0, (change, pace, now) -> {}, 0);
  }

  /**
   * Returns the pace of an upstream that is not restricted until {@link #begin} or {@link
   * #restart}.
   *
   * @param seed differs among routers and starts
   * @param nowNanos when this router learns of the upstream; soon after that the evidence of other
   *     routers makes it a paced one
   */
  public static UpstreamPace established(long seed, Listener listener, long nowNanos) {
    return new UpstreamPace(true, seed, listener, nowNanos);
  }

  /** Begins the pace of an upstream that has just started. */
  public synchronized void begin(int slots, long nowNanos) {
    if (enabled && !active) {
      isNewStart = true;
      activate(Math.max(INITIAL_PACE, INITIAL_PART * slots), nowNanos);
    }
  }

  /** Begins the pace of an upstream that has just started, at the least pace of such a one. */
  public synchronized void begin(long nowNanos) {
    begin(0, nowNanos);
  }

  /** Records a failure of the upstream: begins a pace unless there is one. */
  public synchronized void restart(long nowNanos) {
    if (enabled && !active) {
      isNewStart = false;
      activate(RECOVERY_PACE, nowNanos);
    }
  }

  /** Begins; results that the others still see are kept, as they count only what is added. */
  private void activate(double initial, long now) {
    boolean isReported = isReported(now);
    active = true;
    doubling = true;
    isShared = isNewStart || areOthersPacing(now);
    pace = initial;
    if (!isReported) {
      kept = 0;
      behind = 0;
    }
    debt = 0;
    cutAt = now;
    begunAt = now;
    roundPace = initial;
    roundAt = now;
    if (!areOthersPacing(now)) {
      othersKept = 0;
      othersBehind = 0;
    }
    listener.onChange(Change.BEGUN, pace, now);
  }

  /**
   * Records whether the upstream has to be spared as a cold one. Its answers are no evidence until
   * that ends, and what grows with time begins then.
   */
  public synchronized void recordCold(boolean cold, long nowNanos) {
    if (cold) {
      heldAt = wasHeld ? Math.max(heldAt, nowNanos) : nowNanos;
      isHeld = true;
      wasHeld = true;
    } else if (isHeld) {
      isHeld = false;
      releasedAt = nowNanos;
      begunAt = nowNanos;
      roundAt = nowNanos;
      roundPace = pace;
    }
  }

  /**
   * Returns whether the answer to a request is evidence: the upstream was warm since it was sent.
   */
  public synchronized boolean isEvidence(long sentAtNanos) {
    return !isHeld && (!wasHeld || sentAtNanos - heldAt > 0);
  }

  /** Returns whether the upstream is restricted now. */
  public boolean isActive() {
    return active;
  }

  /** Returns the requests that all routers may have under way; no limit once established. */
  public synchronized double pace() {
    return active ? pace : Double.POSITIVE_INFINITY;
  }

  /**
   * Returns whether this router may send a request now.
   *
   * @param repeatable whether the request may be repeated; others are not used as probes
   */
  public synchronized boolean admits(Load load, boolean repeatable, long nowNanos) {
    if (!active) {
      return true;
    }
    boolean probes = pace < 1;
    if (load.all() >= Math.max(1, pace) || (probes && !(repeatable && isUnusedStep(nowNanos)))) {
      return false;
    }
    double part = pace / sharing(load.routers(), nowNanos);
    int whole = (int) part;
    return load.own() < whole + (fraction(step(nowNanos)) < part - whole ? 1 : 0);
  }

  private boolean isUnusedStep(long now) {
    return !hasSent || sentInStep != step(now);
  }

  /** A failure that only this router has seen restricts only this router. */
  private double sharing(double routers, long now) {
    boolean isRecentStart = isNewStart && now - begunAt < OTHERS_VALID_NANOS;
    return isRecentStart || areOthersPacing(now) ? Math.max(1, routers) : 1;
  }

  private boolean areOthersPacing(long now) {
    return hasOthers && now - othersAt < OTHERS_VALID_NANOS;
  }

  private static long step(long now) {
    return Math.floorDiv(now, STEP_NANOS);
  }

  /** Returns a number below 1 that differs with the router, the start and the step. */
  private double fraction(long step) {
    long mixed = seed + step * 0x9e3779b97f4a7c15L;
    mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return ((mixed ^ (mixed >>> 31)) >>> 11) * FRACTION_UNIT;
  }

  /** Records that a request is sent. */
  public synchronized void recordSent(long nowNanos) {
    hasSent = true;
    sentInStep = step(nowNanos);
  }

  /** Records a request of this router that kept pace. */
  public synchronized void recordKept(int slots, int routers, long nowNanos) {
    kept++;
    raise(1, slots, routers, nowNanos);
  }

  /** Records a request of this router that was answered late; that alone leaves a pace of one. */
  public synchronized void recordLate(long sentAtNanos, long nowNanos) {
    recordBehind(sentAtNanos, Math.min(1, pace), nowNanos);
  }

  /** Records a request of this router that was rejected or broke. */
  public synchronized void recordFailed(long sentAtNanos, long nowNanos) {
    recordBehind(sentAtNanos, MIN_PACE, nowNanos);
  }

  private void recordBehind(long sentAtNanos, double floor, long nowNanos) {
    behind++;
    behindAt = nowNanos;
    owe(1);
    if (sentAtNanos - cutAt > 0) {
      cut(floor, nowNanos);
    }
  }

  /**
   * Takes over the sum of the other routers' evidence. A sum that is smaller than one before, since
   * a part was lost or it is an older one, changes nothing. What is added while the upstream is
   * cold counts with the first sum after that.
   */
  public synchronized void mergeOthers(Evidence sum, int slots, int routers, long nowNanos) {
    adopt(sum, nowNanos);
    hasOthers = true;
    isShared = true;
    othersAt = nowNanos;
    if (isHeld) {
      return;
    }
    int addedKept = sum.kept() - othersKept;
    int addedBehind = sum.behind() - othersBehind;
    othersKept = Math.max(othersKept, sum.kept());
    othersBehind = Math.max(othersBehind, sum.behind());
    if (addedBehind > 0) {
      owe(addedBehind);
      if (sum.behindAtNanos() - cutAt >= ROUND_TRIP_NANOS) {
        cut(Math.min(1, pace), nowNanos);
      }
    }
    if (addedKept > 0) {
      raise(addedKept, slots, routers, nowNanos);
    }
  }

  /** A router that starts learns of a pace from the others, and counts only what follows. */
  private void adopt(Evidence sum, long now) {
    if (enabled && !active && !hasEnded && !hasOthers && now - seenAt < ADOPTION_NANOS) {
      begin(now);
      othersKept = sum.kept();
      othersBehind = sum.behind();
    }
  }

  private void owe(int requests) {
    debt = (int) Math.min(MAX_DEBT, debt + (long) KEPT_FOR_BEHIND * requests);
  }

  private void raise(int requests, int slots, int routers, long now) {
    if (!active || isHeld) {
      return;
    }
    int repaid = Math.min(debt, requests);
    debt -= repaid;
    double bound = Math.min(growthEnd(slots, now), boundOfRound(now));
    for (int i = repaid; i < requests && pace < bound; i++) {
      pace = Math.min(bound, pace + (doubling ? 1 : Math.min(pace, 1 / pace)));
    }
    if (repaid < requests && pace >= endingPace(slots, routers, now)) {
      active = false;
      hasEnded = true;
      endedAt = now;
      listener.onChange(Change.ENDED, pace, now);
    }
  }

  /** What one router alone has seen is over once it has its part; else most slots have to be. */
  private double endingPace(int slots, int routers, long now) {
    double part = Math.max(INITIAL_PACE, (double) slots / Math.max(1, routers));
    double shared = steadyNanos(now) >= EARLY_END_NANOS ? ENDING_PART * slots : slots;
    return isShared ? shared : Math.min(slots, part);
  }

  /** The last step to all slots waits for the answers at most of them. */
  private double growthEnd(int slots, long now) {
    boolean hasAnswers = !isShared || steadyNanos(now) >= 2 * ROUND_TRIP_NANOS;
    double part = Math.max(INITIAL_PACE, ENDING_PART * slots);
    return hasAnswers ? slots : Math.min(slots, part);
  }

  /** Returns the time without a halving during which answers were evidence. */
  private long steadyNanos(long now) {
    return wasHeld ? Math.min(now - cutAt, now - releasedAt) : now - cutAt;
  }

  /** A pace at most doubles before its results are known. */
  private double boundOfRound(long now) {
    if (now - roundAt >= ROUND_TRIP_NANOS) {
      roundAt = now;
      roundPace = pace;
    }
    return Math.max(1, 2 * roundPace);
  }

  private void cut(double floor, long now) {
    if (active) {
      pace = Math.max(floor, pace / 2);
      doubling = false;
      cutAt = now;
      roundAt = now;
      roundPace = pace;
      listener.onChange(Change.HALVED, pace, now);
    }
  }

  /** Returns whether this router's evidence is reported to other routers. */
  public synchronized boolean isReported(long nowNanos) {
    return active || (hasEnded && nowNanos - endedAt < LINGER_NANOS);
  }

  /** Returns the results of this router's requests since the pace began. */
  public synchronized Evidence evidence() {
    return new Evidence(kept, behind, behindAt);
  }
}
