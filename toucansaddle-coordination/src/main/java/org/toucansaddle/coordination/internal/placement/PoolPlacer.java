package org.toucansaddle.coordination.internal.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.toucansaddle.coordination.internal.placement.UpstreamRanking.Candidate;
import org.toucansaddle.coordination.placement.OtherLoad;
import org.toucansaddle.coordination.placement.PlacementDecision.Granted;
import org.toucansaddle.coordination.placement.PlacementDecision.Reason;
import org.toucansaddle.coordination.placement.PlacementDecision.Refused;
import org.toucansaddle.coordination.placement.PlacementRequest;
import org.toucansaddle.coordination.placement.PlacementRequest.PromptPart;
import org.toucansaddle.coordination.placement.Placer;
import org.toucansaddle.coordination.placement.PoolCapacity;
import org.toucansaddle.coordination.placement.PoolUpstream;

/** Implementation of {@link Placer}. Thread-safe; all state is guarded by its lock. */
public final class PoolPlacer implements Placer {

  /** Fraction of the target below which a queue counts as room. */
  private static final double ROOM_TARGET_FRACTION = 0.3;

  /** Fraction of the target within which the first token must be expected. */
  private static final double MAX_WAIT_TARGET_FRACTION = 0.9;

  /** Fraction of that limit below which a queue is short, so that coming back gains nothing. */
  private static final double SHORT_QUEUE_FRACTION = 0.4;

  /** Fraction of the target for which a request may wait for a slot. */
  private static final double SLOT_WAIT_TARGET_FRACTION = 0.4;

  /** Fraction of the target within which a caller gets a place to come back. */
  private static final double PLACE_TARGET_FRACTION = 0.45;

  private static final double MIN_RETRY_TARGET_FRACTION = 0.15;

  private static final PoolCapacity UNKNOWN = new PoolCapacity(0, 25, 0);

  private final Decisions decisions;
  private final UpstreamRanking ranking = new UpstreamRanking();
  private final AccountUsage usage = new AccountUsage();
  private final WorkLimit workLimit = new WorkLimit();
  private final ReturnPlaces places = new ReturnPlaces();
  private final Map<String, PlacedUpstream> upstreams = new LinkedHashMap<>();
  private final Map<GrantKey, Grant> grants = new HashMap<>();
  private final List<WaitingRequest> waiting = new ArrayList<>();
  private final Map<String, Map<String, OtherLoad>> otherLoads = new HashMap<>();
  private final LongSupplier grantNumbers;
  private final RandomGenerator random;
  private PoolCapacity capacity = UNKNOWN;

  private record GrantKey(String router, long grant) {}

  /** Creates a placer for a pool without upstreams. */
  public PoolPlacer(Decisions decisions, LongSupplier grantNumbers, RandomGenerator random) {
    this.decisions = decisions;
    this.grantNumbers = grantNumbers;
    this.random = random;
  }

  @Override
  public synchronized void updatePool(List<PoolUpstream> newUpstreams, PoolCapacity newCapacity) {
    capacity = newCapacity;
    Map<String, PlacedUpstream> previous = new HashMap<>(upstreams);
    upstreams.clear();
    for (PoolUpstream upstream : newUpstreams) {
      PlacedUpstream placed = previous.get(upstream.incarnation());
      if (placed == null) {
        placed = new PlacedUpstream(upstream);
      } else {
        placed.update(upstream);
      }
      upstreams.put(upstream.incarnation(), placed);
    }
    otherLoads.forEach(this::applyOtherLoad);
  }

  @Override
  public synchronized void ask(PlacementRequest request, long now) {
    if (!request.account().isEmpty()) {
      usage.recordDemand(request.account(), request.shareTokens(), now);
    }
    List<PromptPart> prefixes = request.sharedPrefixes();
    Optional<Candidate> best = ranking.best(upstreams.values(), request, prefixes, capacity, now);
    boolean promised = request.returned() && takePlace(request, now);
    boolean hasRoom =
        best.isPresent()
            && best.get().queueMillis() < ROOM_TARGET_FRACTION * request.targetMillis()
            && workLimit.hasRoom(utilisation(now), now);
    if (!hasRoom && !promised && isAboveShare(request, now)) {
      refuse(request, Reason.ABOVE_SHARE, best, now);
      return;
    }
    if (best.isEmpty()) {
      awaitSlot(request, prefixes, promised, now);
    } else if (isWorthSending(request, best.get())) {
      grant(request, prefixes, best.get(), now, now);
    } else {
      refuse(request, Reason.TOO_LATE, best, now);
    }
  }

  private boolean takePlace(PlacementRequest request, long now) {
    long maxAgeNanos = TimeUnit.MILLISECONDS.toNanos(request.targetMillis());
    return usage.takePlace(request.account(), maxAgeNanos, now) || places.take(maxAgeNanos, now);
  }

  private double utilisation(long now) {
    double rated = capacity.tokensPerSecond();
    return rated > 0 ? usage.workPerSecond(now) / rated : 0;
  }

  private double sharedTokensPerSecond() {
    return capacity.tokensPerSecond() * workLimit.sharedThroughput();
  }

  private boolean isAboveShare(PlacementRequest request, long now) {
    return !request.account().isEmpty()
        && usage.isAboveShare(
            request.account(), request.shareTokens(), sharedTokensPerSecond(), now);
  }

  /**
   * Returns whether a request should be sent now: it is expected to meet its target, or coming back
   * would not help, because the queue is short.
   */
  private static boolean isWorthSending(PlacementRequest request, Candidate candidate) {
    double limit = request.targetMillis() * MAX_WAIT_TARGET_FRACTION;
    return candidate.firstTokenMillis() <= limit
        || candidate.queueMillis() < limit * SHORT_QUEUE_FRACTION;
  }

  private void grant(
      PlacementRequest request,
      List<PromptPart> prefixes,
      Candidate candidate,
      long askedAt,
      long now) {
    PlacedUpstream upstream = candidate.upstream();
    Grant grant =
        new Grant(
            grantNumbers.getAsLong(),
            request,
            upstream,
            prefixes,
            candidate.readTokens(),
            upstream.pendingTokens() + candidate.readTokens(),
            askedAt,
            now);
    upstream.add(grant, capacity.memoryTokens() == 0 ? Long.MAX_VALUE : capacity.memoryTokens());
    grants.put(new GrantKey(request.router(), grant.number()), grant);
    places.recordGrant(now);
    if (!request.account().isEmpty()) {
      long work = request.workTokens(candidate.readTokens());
      usage.recordGrant(request.account(), request.shareTokens(), work, now);
    }
    decisions.decided(
        request,
        new Granted(
            grant.number(),
            upstream.upstream().id(),
            candidate.readTokens(),
            candidate.queueMillis(),
            candidate.firstTokenMillis()));
  }

  /** Lets a request wait if a slot is expected in time, given those that go before it. */
  private void awaitSlot(
      PlacementRequest request, List<PromptPart> prefixes, boolean promised, long now) {
    double maxMillis = SLOT_WAIT_TARGET_FRACTION * request.targetMillis();
    WaitingRequest entry =
        new WaitingRequest(request, prefixes, now, now + nanos(maxMillis), promised);
    long ahead = waiting.stream().filter(other -> goesBefore(other, entry, now)).count();
    double expectedMillis = (ahead + 1) * ranking.releaseIntervalMillis(upstreams.values());
    if (upstreams.isEmpty() || expectedMillis > maxMillis) {
      refuse(request, Reason.NO_SLOT, Optional.empty(), now);
    } else {
      waiting.add(entry);
    }
  }

  private static long nanos(double millis) {
    return (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
  }

  private void refuse(PlacementRequest request, Reason reason, Optional<Candidate> best, long now) {
    decisions.decided(
        request,
        new Refused(
            reason,
            retryAfterMillis(request, reason, now),
            usage.grantedTokens(request.account(), now),
            usage.share(sharedTokensPerSecond(), now),
            best.map(Candidate::firstTokenMillis).orElse(0.0)));
  }

  private long retryAfterMillis(PlacementRequest request, Reason reason, long now) {
    long minNanos = nanos(MIN_RETRY_TARGET_FRACTION * request.targetMillis());
    long maxNanos = nanos(PLACE_TARGET_FRACTION * request.targetMillis());
    long place;
    if (request.returned()) {
      place = -1;
    } else if (reason == Reason.ABOVE_SHARE) {
      place =
          usage.reservePlace(
              request.account(), request.shareTokens(), sharedTokensPerSecond(), maxNanos, now);
    } else {
      place = places.reserve(minNanos, maxNanos, now);
    }
    long delay = place < 0 ? random.nextLong(minNanos, maxNanos + 1) : Math.max(minNanos, place);
    return Math.max(1, TimeUnit.NANOSECONDS.toMillis(delay));
  }

  /**
   * Grants slots to waiting requests: first to those that were told to come back, then of the
   * account that had least, then by target.
   */
  private void grantWaiting(long now) {
    boolean found = true;
    while (found) {
      WaitingRequest next = null;
      Optional<Candidate> candidate = Optional.empty();
      for (WaitingRequest entry : waiting) {
        if (next == null || goesBefore(entry, next, now)) {
          Optional<Candidate> room =
              ranking.best(upstreams.values(), entry.request(), entry.prefixes(), capacity, now);
          if (room.isPresent()) {
            next = entry;
            candidate = room;
          }
        }
      }
      found = next != null;
      if (found) {
        waiting.remove(next);
        grant(next.request(), next.prefixes(), candidate.get(), next.askedAt(), now);
      }
    }
  }

  private boolean goesBefore(WaitingRequest a, WaitingRequest b, long now) {
    if (a.promised() != b.promised()) {
      return a.promised();
    }
    double usedByA = usage.grantedTokens(a.request().account(), now);
    double usedByB = usage.grantedTokens(b.request().account(), now);
    return usedByA != usedByB ? usedByA < usedByB : a.giveUpAt() - b.giveUpAt() < 0;
  }

  @Override
  public synchronized void cancel(String router, long request, long now) {
    List<WaitingRequest> withdrawn =
        waiting.stream().filter(entry -> isOf(entry.request(), router, request)).toList();
    waiting.removeAll(withdrawn);
    if (withdrawn.isEmpty()) {
      endGrants(grant -> isOf(grant.request(), router, request) && !grant.isStarted(), true, now);
    }
  }

  private static boolean isOf(PlacementRequest request, String router, long id) {
    return request.id() == id && request.router().equals(router);
  }

  @Override
  public synchronized void recordStart(String router, long number, double millis, long now) {
    Grant grant = grants.get(new GrantKey(router, number));
    if (grant != null && !grant.isStarted()) {
      grant.upstream().recordStart(grant);
      ranking.recordFirstToken(grant, millis, capacity, now);
      double waitedMillis =
          (grant.grantedAt() - grant.askedAt()) / (double) TimeUnit.MILLISECONDS.toNanos(1);
      workLimit.recordFirstToken(waitedMillis + millis, grant.request().targetMillis());
    }
  }

  @Override
  public synchronized void recordEnd(String router, long number, long now) {
    Grant grant = grants.remove(new GrantKey(router, number));
    if (grant != null) {
      grant.upstream().remove(grant);
      double holdMillis = (now - grant.grantedAt()) / (double) TimeUnit.MILLISECONDS.toNanos(1);
      ranking.recordHold(holdMillis);
      workLimit.recordEnd(holdMillis, grant.request().remainingMillis());
      grantWaiting(now);
    }
  }

  private void endGrants(Predicate<Grant> condition, boolean unused, long now) {
    Collection<Grant> ended = grants.values().stream().filter(condition).toList();
    for (Grant grant : ended) {
      PlacementRequest request = grant.request();
      grants.remove(new GrantKey(request.router(), grant.number()));
      grant.upstream().remove(grant);
      if (unused && !request.account().isEmpty()) {
        long work = request.workTokens(grant.readTokens());
        usage.recordUnused(request.account(), request.shareTokens(), work, now);
      }
    }
    if (!ended.isEmpty()) {
      grantWaiting(now);
    }
  }

  @Override
  public synchronized void updateOtherLoad(String router, Map<String, OtherLoad> loads) {
    otherLoads.put(router, Map.copyOf(loads));
    applyOtherLoad(router, loads);
  }

  private void applyOtherLoad(String router, Map<String, OtherLoad> loads) {
    OtherLoad none = new OtherLoad(0, 0, 0);
    upstreams
        .values()
        .forEach(
            placed ->
                placed.setOtherLoad(router, loads.getOrDefault(placed.upstream().id(), none)));
  }

  @Override
  public synchronized void removeRouter(String router, long now) {
    updateOtherLoad(router, Map.of());
    otherLoads.remove(router);
    waiting.removeIf(entry -> entry.request().router().equals(router));
    endGrants(grant -> grant.request().router().equals(router), false, now);
  }

  @Override
  public synchronized void expire(long now) {
    grantWaiting(now);
    List<WaitingRequest> overdue =
        waiting.stream().filter(entry -> now - entry.giveUpAt() >= 0).toList();
    waiting.removeAll(overdue);
    overdue.forEach(entry -> refuse(entry.request(), Reason.NO_SLOT, Optional.empty(), now));
  }

  @Override
  public synchronized int waitingCount() {
    return waiting.size();
  }

  @Override
  public synchronized int grantedCount() {
    return grants.size();
  }
}
