package org.toucansaddle.coordination.internal.placement;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.toucansaddle.coordination.placement.PlacementRequest;
import org.toucansaddle.coordination.placement.PlacementRequest.PromptPart;
import org.toucansaddle.coordination.placement.PoolCapacity;
import org.toucansaddle.coordination.upstream.SpeedEstimate;
import org.toucansaddle.coordination.upstream.SpeedEstimate.Sums;

/**
 * Selects the upstream for a request.
 *
 * <p>Each prefix has an order of the upstreams that is the same whoever decides, so that few of
 * them keep it: the first one that is expected to meet the target well is selected. The expected
 * times are those at the learned speed of each upstream. Confined to its placer's lock.
 */
final class UpstreamRanking {

  private static final double MAX_MEMORY_FRACTION = 0.85;

  /** Fraction of the target within which an upstream is used for the sake of a prefix. */
  private static final double PREFIX_WAIT_TARGET_FRACTION = 0.8;

  private static final double OTHER_ZONE_MILLIS = 4;

  private static final double BASE_MILLIS = 20;
  private static final double SAMPLE_WEIGHT = 0.05;

  /** Nominal time that the multiple of a pool begins with, in milliseconds. */
  private static final double POOL_PRIOR_MILLIS = 300;

  /** Nominal time by which the multiple of the pool counts for an upstream, in milliseconds. */
  private static final double UPSTREAM_PRIOR_MILLIS = 300;

  /** Largest deviation of an upstream from its pool, in either direction. */
  private static final double MAX_DEVIATION = 8;

  private static final double MIN_MULTIPLE = 0.2;

  /** Times to the first token at all upstreams of the pool. */
  private final SpeedEstimate poolSpeed = new SpeedEstimate();

  /** Average time for which a request holds its slot, in milliseconds. */
  private double holdMillis = 500;

  /**
   * An upstream that can take a request. Immutable.
   *
   * @param readTokens prompt tokens that it would read
   * @param queueMillis expected time until it begins with the prompt
   * @param firstTokenMillis expected time to the first token
   * @param cost that time with the way to another availability zone, in milliseconds
   */
  record Candidate(
      PlacedUpstream upstream,
      int readTokens,
      double queueMillis,
      double firstTokenMillis,
      double cost) {}

  /**
   * Returns the first upstream in the order of the prefix that has room and is expected to meet the
   * target well, or else the one with the least wait; empty if none has room.
   */
  Optional<Candidate> best(
      Collection<PlacedUpstream> upstreams,
      PlacementRequest request,
      List<PromptPart> prefixes,
      PoolCapacity capacity,
      long now) {
    double usual = usualMultiple(now);
    String prefix = prefixes.isEmpty() ? "" : prefixes.get(prefixes.size() - 1).id();
    Candidate leastWait = null;
    Candidate first = null;
    long firstScore = Long.MAX_VALUE;
    for (PlacedUpstream upstream : upstreams) {
      if (hasRoom(upstream, request, capacity)
          && !request.excluded().contains(upstream.upstream().id())) {
        Candidate candidate = evaluate(upstream, request, prefixes, capacity, usual, now);
        if (leastWait == null || candidate.cost() < leastWait.cost()) {
          leastWait = candidate;
        }
        if (!prefix.isEmpty() && meetsTargetWell(candidate, request)) {
          long score = Hashing.komihash5_0().hashCharsToLong(prefix + upstream.upstream().id());
          if (first == null || score < firstScore) {
            first = candidate;
            firstScore = score;
          }
        }
      }
    }
    return Optional.ofNullable(first == null ? leastWait : first);
  }

  private static boolean meetsTargetWell(Candidate candidate, PlacementRequest request) {
    return candidate.firstTokenMillis() < PREFIX_WAIT_TARGET_FRACTION * request.targetMillis();
  }

  private static boolean hasRoom(
      PlacedUpstream upstream, PlacementRequest request, PoolCapacity capacity) {
    int requests = upstream.requests();
    if (requests >= upstream.upstream().slots()) {
      return false;
    }
    long tokens = upstream.tokensInUse() + request.promptTokens() + request.outputTokens();
    return capacity.memoryTokens() == 0
        || requests == 0
        || tokens < MAX_MEMORY_FRACTION * capacity.memoryTokens();
  }

  private Candidate evaluate(
      PlacedUpstream upstream,
      PlacementRequest request,
      List<PromptPart> prefixes,
      PoolCapacity capacity,
      double usual,
      long now) {
    int readTokens = request.promptTokens() - upstream.keptTokens(prefixes);
    double multiple = multiple(upstream.speed().sums(now), usual);
    double millisPerToken = multiple / capacity.readTokensPerMilli();
    double queueMillis = upstream.pendingTokens() * millisPerToken;
    double firstTokenMillis = multiple * BASE_MILLIS + queueMillis + readTokens * millisPerToken;
    double cost =
        firstTokenMillis
            + (upstream.upstream().zone().equals(request.zone()) ? 0 : OTHER_ZONE_MILLIS);
    return new Candidate(upstream, readTokens, queueMillis, firstTokenMillis, cost);
  }

  private double usualMultiple(long now) {
    return Math.max(MIN_MULTIPLE, poolSpeed.sums(now).multiple(1, POOL_PRIOR_MILLIS));
  }

  private static double multiple(Sums sums, double usual) {
    double learned = sums.multiple(usual, UPSTREAM_PRIOR_MILLIS);
    return Math.max(usual / MAX_DEVIATION, Math.min(usual * MAX_DEVIATION, learned));
  }

  /** Learns the speed of an upstream from the time to the first token of a granted request. */
  void recordFirstToken(Grant grant, double millis, PoolCapacity capacity, long now) {
    double nominal = BASE_MILLIS + grant.pendingTokens() / capacity.readTokensPerMilli();
    poolSpeed.record(millis, nominal, now);
    grant.upstream().speed().record(millis, nominal, now);
  }

  /** Learns for how long requests hold their slots. */
  void recordHold(double millis) {
    holdMillis += SAMPLE_WEIGHT * (millis - holdMillis);
  }

  /** Returns the expected time between two slots of a pool becoming free, in milliseconds. */
  double releaseIntervalMillis(Collection<PlacedUpstream> upstreams) {
    int slots = upstreams.stream().mapToInt(entry -> entry.upstream().slots()).sum();
    return holdMillis / Math.max(1, slots);
  }
}
