package org.toucansaddle.daemon.internal.gateway.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.protocol.generated.DigestStrike;

/**
 * Quarantines requests that crash upstreams, by the digests of their content and of the parts that
 * their prompts share, across all routers (docs/QUARANTINE.md).
 *
 * <p>A strike is an upstream that crashed while it ran a request. A request with strikes from
 * several upstreams is refused for some time after the last one, and so is one with a part that has
 * several independent strikes which no other part explains. A request that succeeds and its parts
 * lose their strikes at all daemons.
 *
 * <p>Routers and control daemons hold one each and exchange strikes and successes: routers report
 * all of them, control daemons send those of requests near the limit to all routers. Each new
 * strike or success gets the next change number, so that a peer is sent what it has not received. A
 * strike that was cleared is not added again, whichever peer still reports it, so that the exchange
 * ends. Thread-safe.
 */
public final class RequestQuarantine {

  private static final Logger LOG = LoggerFactory.getLogger(RequestQuarantine.class);

  /** Strikes from which all routers know them, to notice when the request succeeds. */
  private static final int SPREAD_LIMIT = 2;

  /** Strikes of a part beside those of one request from which the part is refused. */
  private static final int UNEXPLAINED_LIMIT = 2;

  /**
   * Digests below the limit. A crash leaves a strike for each request that was running, so these
   * are bounded apart from those at the limit.
   */
  private static final int MAX_SUSPECTS = 5_000;

  private static final int MAX_AT_LIMIT = 1_000;
  private static final int MAX_CLEARINGS = 5_000;
  private static final int MAX_SURVIVALS = 5_000;

  /** Time for which a part that an upstream survived is not suspected beside one without that. */
  private static final long PROVEN_NANOS = TimeUnit.MINUTES.toNanos(2);

  private final LongSupplier clock;

  /** Strikes below the limit, those with the latest strike last. */
  private final Map<Long, DigestStrikes> suspects = new BoundedMap<>(MAX_SUSPECTS);

  /** Strikes at the limit, those with the latest strike last. */
  private final Map<Long, DigestStrikes> atLimit = new BoundedMap<>(MAX_AT_LIMIT);

  /** Digests whose strikes were cleared, the latest last. */
  private final Map<Long, ClearedStrikes> clearings = new BoundedMap<>(MAX_CLEARINGS);

  /** Time of the last survival of each part at this daemon, in nanoseconds; the latest last. */
  private final Map<Long, Long> survivals = new BoundedMap<>(MAX_SURVIVALS);

  private final AbandonedRequests abandoned = new AbandonedRequests();

  private long lastChange;
  private long lastSpreadChange;
  private long lastLimitChange;
  private volatile Runnable strikeListener = () -> {};

  /** Creates an empty quarantine; {@code clock} returns nanoseconds. */
  public RequestQuarantine(LongSupplier clock) {
    this.clock = clock;
  }

  /** Sets an action that runs after each strike that this daemon recorded itself. */
  public void onStrike(Runnable listener) {
    strikeListener = listener;
  }

  /**
   * Records that an upstream broke its connection while it ran a request.
   *
   * @param parts digests of the parts of its prompt that other requests may share
   */
  public void recordStrike(long digest, Set<Long> parts, String upstream) {
    List<DigestStrike> strikes = new ArrayList<>();
    strikes.add(strike(digest, false, upstream, 0));
    findSuspects(parts).forEach(part -> strikes.add(strike(part, true, upstream, 0)));
    if (merge(strikes)) {
      strikeListener.run();
    }
  }

  /**
   * Records that this router no longer waits for the response to a request, which an upstream may
   * still run.
   *
   * @param remainingMillis time after which the upstream stops work on it, in milliseconds
   */
  public synchronized void recordAbandoned(long digest, String upstream, long remainingMillis) {
    long remainingNanos = TimeUnit.MILLISECONDS.toNanos(Math.max(0, remainingMillis));
    abandoned.add(digest, upstream, clock.getAsLong() + remainingNanos);
  }

  /** Returns the upstreams that may run a request whose response is no longer awaited. */
  public synchronized Set<String> upstreamsOfAbandoned() {
    return abandoned.upstreams();
  }

  /**
   * Records that an upstream is no longer there, although it did not announce its end: requests
   * that it may have been running get a strike unless an equal one succeeded since.
   *
   * @param lastReportAtNanos when the upstream was last known to be there; a request whose time was
   *     over before that gets no strike
   */
  public void recordCrash(String upstream, long lastReportAtNanos) {
    Set<Long> running;
    synchronized (this) {
      running = abandoned.removeOf(upstream, lastReportAtNanos);
    }
    for (long digest : running) {
      LOG.info("strike digest={} upstream={} abandoned=true", Long.toHexString(digest), upstream);
      recordStrike(digest, Set.of(), upstream);
    }
  }

  /**
   * Adds strikes that other daemons reported, unless they were cleared. If all those of a digest
   * were, the success is reported once more, so that the others clear them, too.
   *
   * @return whether at least one of them was unknown
   */
  public synchronized boolean merge(List<DigestStrike> strikes) {
    boolean anyAdded = false;
    Set<Long> cleared = new HashSet<>();
    for (DigestStrike strike : youngestFirst(strikes)) {
      if (isCleared(strike)) {
        cleared.add(strike.getDigest());
      } else {
        anyAdded |= add(strike);
      }
    }
    cleared.stream()
        .filter(digest -> find(digest).isEmpty())
        .forEach(digest -> latestClearing(digest).setChange(++lastChange));
    return anyAdded;
  }

  /** Orders strikes so that an old one arrives after the later one that keeps it in memory. */
  private static List<DigestStrike> youngestFirst(List<DigestStrike> strikes) {
    return strikes.stream().sorted(Comparator.comparingInt(DigestStrike::getAgeMillis)).toList();
  }

  private boolean add(DigestStrike reported) {
    long now = clock.getAsLong();
    long struckAt = struckAt(reported);
    evictForgotten(suspects, now);
    evictForgotten(atLimit, now);
    long digest = reported.getDigest();
    DigestStrikes strikes =
        find(digest)
            .filter(known -> known.isPart() || !reported.getPart())
            .orElseGet(() -> new DigestStrikes(reported.getPart()));
    boolean isAdded = strikes.add(reported.getUpstream(), struckAt, lastChange + 1);
    if (!isAdded || strikes.isForgotten(now)) {
      return false;
    }
    lastChange++;
    remove(digest);
    (strikes.count() < DigestStrikes.LIMIT ? suspects : atLimit).put(digest, strikes);
    if (strikes.count() >= SPREAD_LIMIT) {
      lastSpreadChange = lastChange;
    }
    if (strikes.count() >= DigestStrikes.LIMIT) {
      lastLimitChange = lastChange;
      LOG.info(
          "quarantine digest={} part={} upstreams={}",
          Long.toHexString(digest),
          strikes.isPart(),
          strikes.upstreams());
    }
    return true;
  }

  /** Returns whether a success, or an upstream that survived the part, has cleared a strike. */
  private boolean isCleared(DigestStrike strike) {
    long struckAt = struckAt(strike);
    long digest = strike.getDigest();
    ClearedStrikes cleared = clearings.get(digest);
    Long survivedAt = strike.getPart() ? survivals.get(digest) : null;
    return (cleared != null && cleared.contains(strike.getUpstream(), struckAt))
        || (survivedAt != null && struckAt - survivedAt < 0);
  }

  private long struckAt(DigestStrike strike) {
    return clock.getAsLong() - TimeUnit.MILLISECONDS.toNanos(strike.getAgeMillis());
  }

  private static void evictForgotten(Map<Long, DigestStrikes> strikes, long now) {
    Iterator<DigestStrikes> oldestFirst = strikes.values().iterator();
    while (oldestFirst.hasNext() && oldestFirst.next().isForgotten(now)) {
      oldestFirst.remove();
    }
  }

  private Optional<DigestStrikes> find(long digest) {
    DigestStrikes found = atLimit.get(digest);
    return Optional.ofNullable(found == null ? suspects.get(digest) : found);
  }

  private Optional<DigestStrikes> remove(long digest) {
    DigestStrikes suspect = suspects.remove(digest);
    DigestStrikes quarantined = atLimit.remove(digest);
    return Optional.ofNullable(quarantined == null ? suspect : quarantined);
  }

  /** Clears the strikes of one digest after a success; other daemons clear them as well. */
  public synchronized void recordSuccess(long digest) {
    abandoned.remove(digest);
    boolean wasAtLimit = atLimit.containsKey(digest);
    Optional<DigestStrikes> removed = remove(digest);
    if (removed.isPresent()) {
      ClearedStrikes cleared = latestClearing(digest);
      cleared.add(removed.get().upstreams(), clock.getAsLong());
      cleared.setChange(++lastChange);
      lastLimitChange = wasAtLimit ? lastChange : lastLimitChange;
    }
  }

  /** Returns the cleared strikes of a digest, as those that are evicted last. */
  private ClearedStrikes latestClearing(long digest) {
    ClearedStrikes known = clearings.remove(digest);
    ClearedStrikes latest = known == null ? new ClearedStrikes() : known;
    clearings.put(digest, latest);
    return latest;
  }

  /** Returns the parts that upstreams have not survived lately; all of them if there is none. */
  private synchronized Set<Long> findSuspects(Set<Long> parts) {
    long now = clock.getAsLong();
    Set<Long> unproven = new HashSet<>(parts);
    unproven.removeIf(
        part -> survivals.containsKey(part) && now - survivals.get(part) <= PROVEN_NANOS);
    return unproven.isEmpty() ? parts : unproven;
  }

  /** Clears the strikes of parts of a prompt on which an upstream has been writing a response. */
  public synchronized void recordSurvival(Set<Long> parts) {
    for (long part : parts) {
      recordSuccess(part);
      survivals.remove(part);
      survivals.put(part, clock.getAsLong());
    }
  }

  /**
   * Clears the strikes of requests whose success another daemon reported, and those that are on
   * their way to this daemon.
   */
  public synchronized void mergeSuccesses(List<Long> digests) {
    for (long digest : digests) {
      recordSuccess(digest);
      latestClearing(digest).add(Set.of(), clock.getAsLong());
    }
  }

  /** Returns whether a request is to be refused. */
  public synchronized boolean isQuarantined(long digest) {
    DigestStrikes strikes = atLimit.get(digest);
    return strikes != null && strikes.isQuarantined(clock.getAsLong());
  }

  /** Returns the time until a request is no longer refused, in milliseconds; 0 if it is not. */
  public synchronized long remainingMillis(long digest) {
    DigestStrikes strikes = atLimit.get(digest);
    long nanos = strikes == null ? 0 : strikes.remainingNanos(clock.getAsLong());
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  /**
   * Returns the time until requests with these parts in their prompts are no longer refused, in
   * milliseconds; 0 if they are not. Crashes that a suspected part outside the request, or one
   * request that came again, explains are not held against it.
   */
  public synchronized long remainingMillisOfParts(Set<Long> parts) {
    if (parts.stream().noneMatch(atLimit::containsKey)) {
      return 0;
    }
    long now = clock.getAsLong();
    Set<String> explainedUpstreams = explainedUpstreams(parts, now);
    long remainingNanos = 0;
    for (long part : parts) {
      DigestStrikes strikes = atLimit.get(part);
      if (strikes != null
          && strikes.countExcept(explainedUpstreams) >= DigestStrikes.LIMIT
          && !isExplainedByOneRequest(strikes, explainedUpstreams)) {
        remainingNanos = Math.max(remainingNanos, strikes.remainingNanos(now));
      }
    }
    return TimeUnit.NANOSECONDS.toMillis(remainingNanos);
  }

  /**
   * Returns whether a part has fewer than {@link #UNEXPLAINED_LIMIT} strikes beside those of one
   * request, which may crash upstreams by itself. Requests do not explain strikes together: each of
   * those with a deadly part may itself have several.
   */
  private boolean isExplainedByOneRequest(DigestStrikes part, Set<String> explainedUpstreams) {
    return Stream.concat(atLimit.values().stream(), suspects.values().stream())
        .filter(request -> !request.isPart() && part.sharedWith(request) >= SPREAD_LIMIT)
        .anyMatch(
            request -> {
              Set<String> explained = new HashSet<>(explainedUpstreams);
              explained.addAll(request.upstreams());
              return part.countExcept(explained) < UNEXPLAINED_LIMIT;
            });
  }

  /** Returns the upstreams that crashed under suspected parts which a request does not have. */
  private Set<String> explainedUpstreams(Set<Long> parts, long now) {
    Set<String> upstreams = new HashSet<>();
    atLimit.forEach(
        (digest, strikes) -> {
          if (strikes.isPart() && strikes.isQuarantined(now) && !parts.contains(digest)) {
            upstreams.addAll(strikes.upstreams());
          }
        });
    return upstreams;
  }

  /** Returns the number of upstreams known to have crashed while they ran a request. */
  public synchronized int strikeCount(long digest) {
    return find(digest).map(DigestStrikes::count).orElse(0);
  }

  /** Returns the number of digests of requests that are refused. */
  public synchronized int quarantinedCount() {
    return countQuarantined(false);
  }

  /** Returns the number of parts of prompts that are suspected to crash upstreams. */
  public synchronized int suspectedPartCount() {
    return countQuarantined(true);
  }

  private int countQuarantined(boolean parts) {
    long now = clock.getAsLong();
    return (int)
        atLimit.values().stream()
            .filter(strikes -> strikes.isPart() == parts && strikes.isQuarantined(now))
            .count();
  }

  /** Returns the number of the last change; 0 before the first one. */
  public synchronized long lastChange() {
    return lastChange;
  }

  /** Returns the number of the last strike that all routers are to know; 0 before the first one. */
  public synchronized long lastSpreadChange() {
    return lastSpreadChange;
  }

  /** Returns the number of the last change of a request at the limit; 0 before the first one. */
  public synchronized long lastLimitChange() {
    return lastLimitChange;
  }

  /** Returns all strikes of the digests at the limit. */
  synchronized List<DigestStrike> strikesAtLimit() {
    return encode(0, DigestStrikes.LIMIT);
  }

  /** Returns all strikes of the digests that changed after the given change. */
  public synchronized List<DigestStrike> strikesAfter(long change) {
    return encode(change, 0);
  }

  /** Returns those of {@link #strikesAfter} that all routers are to know. */
  public synchronized List<DigestStrike> spreadStrikesAfter(long change) {
    return encode(change, SPREAD_LIMIT);
  }

  /** Returns the digests whose strikes were cleared after the given change. */
  public synchronized List<Long> successesAfter(long change) {
    if (change >= lastChange) {
      return List.of();
    }
    return clearings.entrySet().stream()
        .filter(cleared -> cleared.getValue().change() > change)
        .map(Map.Entry::getKey)
        .toList();
  }

  private List<DigestStrike> encode(long change, int minStrikes) {
    if (change >= lastChange) {
      return List.of();
    }
    long now = clock.getAsLong();
    List<DigestStrike> encoded = new ArrayList<>();
    BiConsumer<Long, DigestStrikes> encoder =
        (digest, strikes) -> {
          boolean isWanted = strikes.change() > change && strikes.count() >= minStrikes;
          if (isWanted && !strikes.isForgotten(now)) {
            strikes.forEach(
                (name, at) -> encoded.add(strike(digest, strikes.isPart(), name, now - at)));
          }
        };
    suspects.forEach(encoder);
    atLimit.forEach(encoder);
    return encoded;
  }

  private static DigestStrike strike(long digest, boolean part, String upstream, long ageNanos) {
    return DigestStrike.newBuilder()
        .setDigest(digest)
        .setPart(part)
        .setUpstream(upstream)
        .setAgeMillis((int) TimeUnit.NANOSECONDS.toMillis(ageNanos))
        .build();
  }
}
