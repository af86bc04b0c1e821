package org.toucansaddle.daemon.internal.gateway.relay;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.toucansaddle.daemon.gateway.ServiceDefinition;
import org.toucansaddle.daemon.internal.gateway.routing.RoutingView;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;

/**
 * Selects the upstream for a request, without I/O.
 *
 * <p>A prompt goes to the engine that has prefilled its shared prefix before, unless that engine is
 * too busy to meet the target. Other requests are spread in proportion to the free capacity of the
 * upstreams. Stateless and thread-safe.
 */
public final class UpstreamSelector {

  /** Requests per slot that may wait at an upstream which is not an engine. */
  private static final double MAX_QUEUED_PER_SLOT = 1.5;

  /** Requests per slot up to which an engine is selected. */
  private static final double MAX_ENGINE_LOAD = 1.1;

  /** Fraction of the target within which an engine is used for the sake of a shared prefix. */
  private static final double PREFIX_WAIT_TARGET_FRACTION = 0.8;

  /** Fraction of an engine's memory for requests; the rest caches shared prefixes. */
  private static final double MAX_MEMORY_FRACTION = 0.85;

  /** Load added to another availability zone, per slot. */
  private static final double OTHER_ZONE_LOAD_PENALTY = 0.01;

  /** Waiting time added to another availability zone. */
  private static final double OTHER_ZONE_PENALTY_MILLIS = 4;

  /** Time by which another engine may take longer than the best one and still be selected. */
  private static final double NEAR_BEST_FACTOR = 1.1;

  private static final double MILLIS_PER_SECOND = 1_000;

  private static final Hasher64 HASHER = Hashing.komihash5_0();

  private final String zone;

  /** Creates the selector of a router in an availability zone. */
  public UpstreamSelector(String zone) {
    this.zone = zone;
  }

  /**
   * A selected upstream. Immutable.
   *
   * @param expectedQueueMillis expected time to the first token of an empty prompt, in milliseconds
   * @param expectedFirstTokenMillis expected time to the first token, in milliseconds
   * @param prefillTokens prompt tokens to prefill
   * @param reason why it was selected
   */
  public record Selection(
      Upstream upstream,
      double expectedQueueMillis,
      double expectedFirstTokenMillis,
      int prefillTokens,
      Reason reason) {

    private Selection asLeastWait(double penaltyMillis) {
      return new Selection(
          upstream,
          expectedQueueMillis,
          expectedFirstTokenMillis + penaltyMillis,
          prefillTokens,
          Reason.LEAST_WAIT);
    }
  }

  /** Why an upstream was selected. */
  public enum Reason {
    /** All routers prefer it for the shared prefix of the prompt. */
    PREFIX,
    /** It is next in the order for the prefix; the engines before it are too busy. */
    NEXT_FOR_PREFIX,
    /** It has the shortest expected time to the first token. */
    LEAST_WAIT,
    /** It was drawn in proportion to the free capacity of the upstreams. */
    FREE_CAPACITY,
    /** A control daemon granted a slot there. */
    PLACED
  }

  /**
   * Performance of the engines of a service. Immutable.
   *
   * @param estimator estimates the time to the first token
   * @param nominalTokensPerMilli nominal prefill speed, in tokens per millisecond
   * @param memoryTokens tokens that an engine holds in memory; 0 if unknown
   * @param nowNanos time of the selection
   */
  public record EngineProfile(
      FirstTokenEstimator estimator,
      double nominalTokensPerMilli,
      long memoryTokens,
      long nowNanos) {

    /** Prompt tokens that an engine prefills in the time in which it serves one token. */
    private static final double PREFILL_TO_SERVED_RATIO = 2;

    private static final double DEFAULT_PREFILL_TOKENS_PER_MILLI = 25;

    /**
     * Returns the profile of the engines of a service.
     *
     * @param engines number of usable engines
     */
    static EngineProfile of(
        RoutingView view,
        String service,
        int engines,
        FirstTokenEstimator estimator,
        long nowNanos) {
      double served = view.tokensPerSecond() / MILLIS_PER_SECOND / Math.max(1, engines);
      double prefilled =
          served > 0 ? PREFILL_TO_SERVED_RATIO * served : DEFAULT_PREFILL_TOKENS_PER_MILLI;
      long memoryTokens =
          view.service(service)
              .flatMap(ServiceDefinition::engine)
              .map(ServiceDefinition.EngineCapacity::memoryTokens)
              .orElse(0L);
      return new EngineProfile(estimator, prefilled, memoryTokens, nowNanos);
    }

    private Selection selection(Upstream engine, int prefillTokens, Reason reason) {
      double multiple = engine.condition().multiple(estimator.factor(), nowNanos);
      long pending = engine.pendingTokens(nowNanos);
      return new Selection(
          engine,
          multiple * FirstTokenEstimator.nominalMillis(pending, nominalTokensPerMilli),
          multiple
              * FirstTokenEstimator.nominalMillis(pending + prefillTokens, nominalTokensPerMilli),
          prefillTokens,
          reason);
    }
  }

  /**
   * Selects an upstream.
   *
   * @param upstreams upstreams that accept requests
   * @param targetMillis target for the time to the first token, in milliseconds
   * @param takesMore whether an upstream takes a request now; the others keep their place in the
   *     order for a prefix
   * @return empty if all upstreams are at their limits
   */
  public Optional<Selection> select(
      Collection<Upstream> upstreams,
      RequestHead head,
      int targetMillis,
      EngineProfile profile,
      Predicate<Upstream> takesMore) {
    return head.promptTokens() > 0
        ? selectEngine(upstreams, head, targetMillis, profile, takesMore)
        : drawByFreeCapacity(upstreams.stream().filter(takesMore).toList(), profile.nowNanos());
  }

  /**
   * Draws an upstream in proportion to its free capacity. All routers see the load of the others as
   * last reported; if each of them selected the least loaded upstream, they would overload it until
   * the next report. Recent response times do not count, since they include the time in queues.
   */
  private Optional<Selection> drawByFreeCapacity(List<Upstream> candidates, long nowNanos) {
    double[] free = new double[candidates.size()];
    double sum = 0;
    for (int i = 0; i < free.length; i++) {
      Upstream upstream = candidates.get(i);
      double taken = upstream.condition().takenPart(nowNanos);
      free[i] = freeCapacity(upstream, nowNanos) * taken;
      sum += free[i];
    }
    if (sum <= 0) {
      return Optional.empty();
    }
    double drawn = ThreadLocalRandom.current().nextDouble(sum);
    int index = 0;
    while (drawn >= free[index] && index < free.length - 1) {
      drawn -= free[index];
      index++;
    }
    return Optional.of(new Selection(candidates.get(index), 0, 0, 0, Reason.FREE_CAPACITY));
  }

  /** Returns the requests per slot that an upstream can accept; 0 if it is full. */
  private double freeCapacity(Upstream upstream, long nowNanos) {
    double penalty = isSameZone(upstream) ? 0 : OTHER_ZONE_LOAD_PENALTY;
    return Math.max(0, 1 + MAX_QUEUED_PER_SLOT - loadPerSlot(upstream, nowNanos) - penalty);
  }

  private Optional<Selection> selectEngine(
      Collection<Upstream> candidates,
      RequestHead head,
      int targetMillis,
      EngineProfile profile,
      Predicate<Upstream> takesMore) {
    String prefix = head.sharedPrefixKey();
    List<Selection> selections = new ArrayList<>();
    boolean first = true;
    for (Upstream upstream : rankForPrefix(candidates, prefix)) {
      if (loadPerSlot(upstream, profile.nowNanos()) > MAX_ENGINE_LOAD
          || !hasMemory(upstream, head, profile)
          || !takesMore.test(upstream)) {
        first = false;
        continue;
      }
      int prefillTokens = head.promptTokens() - (first ? head.sharedPrefixTokens() : 0);
      Reason reason = first ? Reason.PREFIX : Reason.NEXT_FOR_PREFIX;
      Selection selection = profile.selection(upstream, prefillTokens, reason);
      if (!prefix.isEmpty()
          && selection.expectedFirstTokenMillis() < PREFIX_WAIT_TARGET_FRACTION * targetMillis) {
        return Optional.of(selection);
      }
      first = false;
      selections.add(selection.asLeastWait(zonePenaltyMillis(upstream)));
    }
    return drawNearBest(selections, targetMillis, profile.nowNanos());
  }

  /**
   * Returns the better of two drawn ones that are about as good as the best. If routers with the
   * same reports all selected the best engine, they would overload it until the next report. One
   * that cannot meet the target is not drawn if the best can.
   */
  private static Optional<Selection> drawNearBest(
      List<Selection> selections, int targetMillis, long nowNanos) {
    double[] costs =
        selections.stream().mapToDouble(selection -> costMillis(selection, nowNanos)).toArray();
    double best = Arrays.stream(costs).min().orElse(0);
    double admitted = AdmissionControl.MAX_WAIT_TARGET_FRACTION * targetMillis;
    double near = best * NEAR_BEST_FACTOR;
    double limit = best <= admitted ? Math.min(near, admitted) : near;
    int[] drawable = IntStream.range(0, costs.length).filter(i -> costs[i] <= limit).toArray();
    if (drawable.length == 0) {
      return Optional.empty();
    }
    int one = drawable[ThreadLocalRandom.current().nextInt(drawable.length)];
    int other = drawable[ThreadLocalRandom.current().nextInt(drawable.length)];
    return Optional.of(selections.get(costs[one] <= costs[other] ? one : other));
  }

  /** Returns the expected time to the first token, longer at an engine that refuses requests. */
  private static double costMillis(Selection selection, long nowNanos) {
    double taken = selection.upstream().condition().takenPart(nowNanos);
    return selection.expectedFirstTokenMillis() / taken;
  }

  /** An engine that runs out of memory preempts its newest request and prefills it again. */
  private static boolean hasMemory(Upstream upstream, RequestHead head, EngineProfile profile) {
    long expectedTokens = upstream.memoryTokens() + head.promptTokens() + head.maxOutputTokens();
    return profile.memoryTokens() == 0
        || upstream.requests(profile.nowNanos()) == 0
        || expectedTokens < MAX_MEMORY_FRACTION * profile.memoryTokens();
  }

  private double zonePenaltyMillis(Upstream upstream) {
    return isSameZone(upstream) ? 0 : OTHER_ZONE_PENALTY_MILLIS;
  }

  private boolean isSameZone(Upstream upstream) {
    return upstream.report().zone().equals(zone);
  }

  private static double loadPerSlot(Upstream upstream, long nowNanos) {
    return upstream.requests(nowNanos) / (double) Math.max(1, upstream.report().slots());
  }

  /** Upstream with its place in the order of a prefix. Immutable. */
  private record RankedUpstream(long score, Upstream upstream) {}

  /** Returns the upstreams in an order that depends on the prefix and is equal on all routers. */
  private static List<Upstream> rankForPrefix(Collection<Upstream> candidates, String prefix) {
    if (prefix.isEmpty()) {
      return List.copyOf(candidates);
    }
    List<RankedUpstream> ranked = new ArrayList<>(candidates.size());
    long prefixHash = HASHER.hashCharsToLong(prefix);
    for (Upstream upstream : candidates) {
      long score = HASHER.hashLongLongToLong(prefixHash, upstream.idHash());
      ranked.add(new RankedUpstream(score, upstream));
    }
    ranked.sort(
        Comparator.comparingLong(RankedUpstream::score)
            .thenComparing(entry -> entry.upstream().id()));
    List<Upstream> ordered = new ArrayList<>(ranked.size());
    ranked.forEach(entry -> ordered.add(entry.upstream()));
    return ordered;
  }
}
