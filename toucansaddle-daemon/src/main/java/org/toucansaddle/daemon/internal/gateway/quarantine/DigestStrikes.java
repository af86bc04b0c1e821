package org.toucansaddle.daemon.internal.gateway.quarantine;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * Latest strikes of the requests with one digest, or with one part in their prompts: the
 * incarnations of upstreams that crashed while they ran one, each with its time in nanoseconds.
 *
 * <p>Equal requests are rare, so that each crash under one counts. A part may be common, so that
 * crashes at about the same time, which have a cause in common, count once.
 *
 * <p>A strike looks younger by the time that it spent on its way or in a file, so the oldest time
 * that is known of it counts. Not thread-safe.
 */
final class DigestStrikes {

  /** Crashed upstreams from which a request is refused; three are unlikely to be a coincidence. */
  static final int LIMIT = 3;

  /** Strikes kept. They only need to reach the limit; more of them show operators the upstreams. */
  private static final int CAPACITY = 8;

  /** Strikes of a part that are kept; several of them may count once. */
  private static final int PART_CAPACITY = 16;

  /** Time between crashes of upstreams with a part from which they count separately. */
  private static final long INDEPENDENT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Minimum age difference between a strike and an older one that it replaces. */
  private static final long REPLACED_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time after the last strike for which a request at the limit is refused. */
  private static final long QUARANTINE_NANOS = TimeUnit.MINUTES.toNanos(10);

  /**
   * Time after the last strike until the strikes are forgotten. After the quarantine a single
   * strike renews it.
   */
  private static final long RETENTION_NANOS = TimeUnit.HOURS.toNanos(1);

  private final boolean part;
  private final Map<String, Long> timesByUpstream = new LinkedHashMap<>();
  private long change;

  /**
   * Creates an object without strikes.
   *
   * @param part whether the digest is that of a part of prompts
   */
  DigestStrikes(boolean part) {
    this.part = part;
  }

  /** Returns whether the digest is that of a part of prompts. */
  boolean isPart() {
    return part;
  }

  /**
   * Adds a strike; returns whether it was added. At capacity only one from after the quarantine,
   * and clearly younger, replaces the oldest; otherwise daemons that keep different ones would
   * exchange them endlessly.
   */
  boolean add(String upstream, long struckAt, long newChange) {
    if (timesByUpstream.containsKey(upstream)) {
      timesByUpstream.merge(upstream, struckAt, Math::min);
      return false;
    }
    if (timesByUpstream.size() == (part ? PART_CAPACITY : CAPACITY)) {
      long oldestAt = Collections.min(timesByUpstream.values());
      if (isQuarantined(struckAt) || struckAt - oldestAt <= REPLACED_AGE_NANOS) {
        return false;
      }
      timesByUpstream.values().remove(oldestAt);
    }
    timesByUpstream.put(upstream, struckAt);
    change = newChange;
    return true;
  }

  private long lastStrikeAt() {
    return Collections.max(timesByUpstream.values());
  }

  /** Returns the number of strikes that count separately. */
  int count() {
    return countExcept(Set.of());
  }

  /** Returns the number of strikes that count separately, without those of some upstreams. */
  int countExcept(Set<String> explainedUpstreams) {
    long[] times =
        timesByUpstream.entrySet().stream()
            .filter(strike -> !explainedUpstreams.contains(strike.getKey()))
            .mapToLong(Map.Entry::getValue)
            .sorted()
            .toArray();
    if (!part) {
      return times.length;
    }
    int count = 0;
    long lastCounted = 0;
    for (long time : times) {
      if (count == 0 || time - lastCounted >= INDEPENDENT_NANOS) {
        count++;
        lastCounted = time;
      }
    }
    return count;
  }

  /** Returns the number of the change that added the last strike. */
  long change() {
    return change;
  }

  /** Returns the crashed incarnations. */
  Set<String> upstreams() {
    return timesByUpstream.keySet();
  }

  /** Returns the number of upstreams that crashed under both digests. */
  long sharedWith(DigestStrikes other) {
    return other.upstreams().stream().filter(timesByUpstream::containsKey).count();
  }

  /** Returns whether all strikes are forgotten because the last one is old. */
  boolean isForgotten(long now) {
    return now - lastStrikeAt() > RETENTION_NANOS;
  }

  /** Returns whether requests with this digest are refused. */
  boolean isQuarantined(long now) {
    return count() >= LIMIT && now - lastStrikeAt() <= QUARANTINE_NANOS;
  }

  /** Returns the time until requests are no longer refused, in nanoseconds; 0 if they are not. */
  long remainingNanos(long now) {
    return isQuarantined(now) ? lastStrikeAt() + QUARANTINE_NANOS - now : 0;
  }

  /** Passes each incarnation and the time of its strike to a consumer. */
  void forEach(BiConsumer<String, Long> consumer) {
    timesByUpstream.forEach(consumer);
  }
}
