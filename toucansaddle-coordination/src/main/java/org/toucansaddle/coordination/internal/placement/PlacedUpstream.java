package org.toucansaddle.coordination.internal.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.toucansaddle.coordination.placement.OtherLoad;
import org.toucansaddle.coordination.placement.PlacementRequest;
import org.toucansaddle.coordination.placement.PlacementRequest.PromptPart;
import org.toucansaddle.coordination.placement.PoolUpstream;
import org.toucansaddle.coordination.upstream.SpeedEstimate;

/**
 * Load and memory of one incarnation of an upstream, as one placer knows them.
 *
 * <p>Confined to its placer's lock.
 */
final class PlacedUpstream {

  private static final OtherLoad NO_LOAD = new OtherLoad(0, 0, 0);

  private PoolUpstream upstream;
  private final PromptMemory memory = new PromptMemory();
  private final SpeedEstimate speed = new SpeedEstimate();
  private final Map<Long, Grant> grants = new HashMap<>();
  private final Map<String, OtherLoad> otherLoads = new HashMap<>();
  private OtherLoad otherLoad = NO_LOAD;
  private long pendingTokens;
  private long ownTokens;

  /** Requests under way by the shared prefix that they use. */
  private final Map<String, Integer> prefixUsers = new HashMap<>();

  private long sharedTokensInUse;

  PlacedUpstream(PoolUpstream upstream) {
    this.upstream = upstream;
  }

  PoolUpstream upstream() {
    return upstream;
  }

  void update(PoolUpstream newState) {
    upstream = newState;
  }

  /** Returns what is known of its speed. */
  SpeedEstimate speed() {
    return speed;
  }

  /** Returns the number of requests under way. */
  int requests() {
    return grants.size() + otherLoad.requests();
  }

  /** Returns the prompt tokens that the upstream has not read yet. */
  long pendingTokens() {
    return pendingTokens + otherLoad.pendingTokens();
  }

  /** Returns the tokens in memory that cannot yield. */
  long tokensInUse() {
    return ownTokens + sharedTokensInUse + otherLoad.memoryTokens();
  }

  int keptTokens(List<PromptPart> prefixes) {
    return memory.keptTokens(prefixes);
  }

  void setOtherLoad(String router, OtherLoad load) {
    OtherLoad previous =
        load.requests() == 0 ? otherLoads.remove(router) : otherLoads.put(router, load);
    if (previous != null || load.requests() > 0) {
      otherLoad = otherLoads.values().stream().reduce(NO_LOAD, OtherLoad::plus);
    }
  }

  /** Adds a granted request. */
  void add(Grant grant, long memoryTokens) {
    grants.put(grant.number(), grant);
    pendingTokens += grant.readTokens();
    ownTokens += ownTokens(grant.request());
    for (PromptPart prefix : grant.prefixes()) {
      if (prefixUsers.merge(prefix.id(), 1, Integer::sum) == 1) {
        sharedTokensInUse += prefix.tokens();
      }
    }
    memory.use(grant.prefixes(), Math.max(0, memoryTokens - ownTokens));
  }

  private static long ownTokens(PlacementRequest request) {
    return request.promptTokens() - request.sharedTokens() + request.outputTokens();
  }

  /** Records that the prompt of a granted request was read. */
  void recordStart(Grant grant) {
    if (grants.containsKey(grant.number()) && grant.markStarted()) {
      pendingTokens -= grant.readTokens();
    }
  }

  /** Removes a granted request. */
  void remove(Grant grant) {
    if (!grants.containsKey(grant.number())) {
      return;
    }
    recordStart(grant);
    grants.remove(grant.number());
    ownTokens -= ownTokens(grant.request());
    for (PromptPart prefix : grant.prefixes()) {
      if (prefixUsers.merge(prefix.id(), -1, Integer::sum) == 0) {
        prefixUsers.remove(prefix.id());
        sharedTokensInUse -= prefix.tokens();
      }
    }
  }

  /** Returns the granted requests. */
  Set<Grant> grants() {
    return new HashSet<>(grants.values());
  }
}
