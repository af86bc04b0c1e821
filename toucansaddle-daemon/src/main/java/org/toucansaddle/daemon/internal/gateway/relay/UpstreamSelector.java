package org.toucansaddle.daemon.internal.gateway.relay;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;

/**
 * Decides which upstream gets a request, without I/O.
 *
 * <p>A prompt goes where the shared part of its prefix was read before, unless reading it anew
 * elsewhere starts sooner; other requests go where the least is under way for each slot. Stateless
 * and thread-safe.
 */
public final class UpstreamSelector {

  /** Requests that a plain upstream may have waiting, for each slot. */
  private static final double MAX_QUEUED_PER_SLOT = 1.5;

  /** Requests that an engine may have beyond its slots, for each slot. */
  private static final double MAX_ENGINE_LOAD = 1.1;

  /** Part of the target in which a prompt should be answered where its prefix was read before. */
  private static final double PREFIX_WAIT_TARGET_FRACTION = 0.8;

  /** Part of an engine's memory that requests may fill; the rest keeps shared prefixes. */
  private static final double MAX_MEMORY_FRACTION = 0.85;

  /** What a zone boundary costs, as a part of a slot: it decides only between equals. */
  private static final double OTHER_ZONE_LOAD_PENALTY = 0.01;

  /** What a zone boundary costs, in milliseconds of waiting. */
  private static final double OTHER_ZONE_PENALTY_MILLIS = 4;

  private final String zone;

  /** Creates the placement of a router in a zone. */
  public UpstreamSelector(String zone) {
    this.zone = zone;
  }

  /**
   * An upstream that was chosen. Immutable.
   *
   * @param upstream the upstream
   * @param aheadMillis expected time until it begins to answer a prompt of no length, in
   *     milliseconds
   * @param waitMillis expected time until it begins to answer, in milliseconds
   * @param toRead prompt tokens that it has to read
   * @param reason why it was chosen
   */
  public record Selection(
      Upstream upstream,
      double expectedQueueMillis,
      double expectedFirstTokenMillis,
      int prefillTokens,
      Reason reason) {}

  /** Why an upstream was chosen. */
  public enum Reason {
    /** It reads the shared prefix of the prompt for all routers. */
    PREFIX,
    /** It takes the prefix when those before it in line have too much to read. */
    NEXT_FOR_PREFIX,
    /** It starts soonest. */
    LEAST_WAIT,
    /** It has the least under way for its slots. */
    LEAST_LOAD
  }

  /**
   * What engines of a service can do. Immutable.
   *
   * @param speed how long they take until a first token
   * @param tokensPerMilli nominal speed of reading, in tokens a millisecond
   * @param memoryTokens tokens that one keeps in memory; 0 if not known
   */
  public record EngineProfile(
      FirstTokenEstimator estimator, double nominalTokensPerMilli, long memoryTokens) {

    double firstTokenMillis(long tokens) {
      return estimator.estimateMillis(tokens, nominalTokensPerMilli);
    }
  }

  /**
   * Chooses an upstream.
   *
   * @param usable upstreams that take requests
   * @param targetMillis time to the first token that operators aim for, in milliseconds
   * @return nothing if all have as much as they may
   */
  public Optional<Selection> select(
      Collection<Upstream> usable,
      RequestHead head,
      int targetMillis,
      EngineProfile limits,
      Set<String> tried) {
    List<Upstream> open = new ArrayList<>();
    for (Upstream upstream : usable) {
      if (!tried.contains(upstream.id())) {
        open.add(upstream);
      }
    }
    if (head.promptTokens() > 0) {
      return selectEngine(open, head, targetMillis, limits);
    }
    return selectLeastLoaded(open);
  }

  private Optional<Selection> selectLeastLoaded(List<Upstream> open) {
    Upstream best = null;
    double bestLoad = Double.MAX_VALUE;
    int start = open.isEmpty() ? 0 : ThreadLocalRandom.current().nextInt(open.size());
    for (int i = 0; i < open.size(); i++) {
      Upstream upstream = open.get((start + i) % open.size());
      double load = loadPerSlot(upstream) + (isSameZone(upstream) ? 0 : OTHER_ZONE_LOAD_PENALTY);
      if (load < bestLoad) {
        best = upstream;
        bestLoad = load;
      }
    }
    if (best == null || bestLoad > 1 + MAX_QUEUED_PER_SLOT) {
      return Optional.empty();
    }
    return Optional.of(new Selection(best, 0, 0, 0, Reason.LEAST_LOAD));
  }

  private Optional<Selection> selectEngine(
      List<Upstream> open, RequestHead head, int targetMillis, EngineProfile limits) {
    String prefix = head.sharedPrefixKey();
    Selection soonest = null;
    boolean first = true;
    for (Upstream upstream : rankForPrefix(open, prefix)) {
      if (loadPerSlot(upstream) > MAX_ENGINE_LOAD || !hasMemory(upstream, head, limits)) {
        first = false;
        continue;
      }
      int toRead = head.promptTokens() - (first ? head.sharedPrefixTokens() : 0);
      double ahead = limits.firstTokenMillis(upstream.pendingTokens());
      double millis = limits.firstTokenMillis(upstream.pendingTokens() + toRead);
      if (!prefix.isEmpty() && millis < PREFIX_WAIT_TARGET_FRACTION * targetMillis) {
        Reason reason = first ? Reason.PREFIX : Reason.NEXT_FOR_PREFIX;
        return Optional.of(new Selection(upstream, ahead, millis, toRead, reason));
      }
      first = false;
      double compared = millis + zonePenaltyMillis(upstream);
      if (soonest == null || compared < soonest.expectedFirstTokenMillis()) {
        soonest = new Selection(upstream, ahead, compared, toRead, Reason.LEAST_WAIT);
      }
    }
    return Optional.ofNullable(soonest);
  }

  /** An engine that runs out of memory stops its newest request and reads it anew. */
  private static boolean hasMemory(Upstream upstream, RequestHead head, EngineProfile limits) {
    long after = upstream.memoryTokens() + head.promptTokens() + head.maxOutputTokens();
    return limits.memoryTokens() == 0
        || upstream.requests() == 0
        || after < MAX_MEMORY_FRACTION * limits.memoryTokens();
  }

  private double zonePenaltyMillis(Upstream upstream) {
    return isSameZone(upstream) ? 0 : OTHER_ZONE_PENALTY_MILLIS;
  }

  private boolean isSameZone(Upstream upstream) {
    return upstream.report().zone().equals(zone);
  }

  private static double loadPerSlot(Upstream upstream) {
    return upstream.requests() / (double) Math.max(1, upstream.report().slots());
  }

  /** Returns the upstreams in an order that all routers agree on, another one for each prefix. */
  private static List<Upstream> rankForPrefix(List<Upstream> open, String prefix) {
    if (prefix.isEmpty()) {
      return open;
    }
    List<Upstream> ordered = new ArrayList<>(open);
    ordered.sort(
        Comparator.comparingLong((Upstream u) -> score(prefix, u)).thenComparing(Upstream::id));
    return ordered;
  }

  private static long score(String prefix, Upstream upstream) {
    return Hashing.komihash5_0().hashCharsToLong(prefix + upstream.id());
  }
}
