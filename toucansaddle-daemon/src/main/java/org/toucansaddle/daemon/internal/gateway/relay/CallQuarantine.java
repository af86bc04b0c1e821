package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.Set;
import org.toucansaddle.daemon.internal.gateway.quarantine.RequestQuarantine;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;

/**
 * The strikes against one call, equal ones and those that share parts of its prompt. Immutable.
 *
 * @param quarantine quarantine of this router
 * @param digest digest of the request, as in {@link RequestDigest}
 * @param parts digests of the parts of its prompt that other requests may share
 */
record CallQuarantine(RequestQuarantine quarantine, long digest, Set<Long> parts) {

  /** Copies the digests of the parts. */
  CallQuarantine {
    parts = Set.copyOf(parts);
  }

  /** Returns whether the request is refused. */
  boolean isActive() {
    return quarantine.isQuarantined(digest) || quarantine.remainingMillisOfParts(parts) > 0;
  }

  /** Returns the time until the request is no longer refused, in milliseconds. */
  long remainingMillis() {
    return Math.max(quarantine.remainingMillis(digest), quarantine.remainingMillisOfParts(parts));
  }

  /** Returns the number of upstreams known to have crashed while they ran an equal request. */
  int strikes() {
    return quarantine.strikeCount(digest);
  }

  /** Returns the largest number of independent strikes of one of the parts. */
  int partStrikes() {
    return parts.stream().mapToInt(quarantine::strikeCount).max().orElse(0);
  }

  /** Records that the connection to an upstream broke while it had the request. */
  void recordStrike(Upstream upstream) {
    quarantine.recordStrike(digest, parts, upstream.incarnation());
  }

  /** Records that the response is no longer awaited, although an upstream may run the request. */
  void recordAbandoned(Upstream upstream, long remainingMillis) {
    quarantine.recordAbandoned(digest, upstream.incarnation(), remainingMillis);
  }

  /** Records that an upstream has been writing a response without a crash. */
  void recordSurvival() {
    quarantine.recordSurvival(parts);
  }

  /** Records that an upstream ran the request successfully. */
  void recordSuccess() {
    quarantine.recordSuccess(digest);
    quarantine.recordSurvival(parts);
  }
}
