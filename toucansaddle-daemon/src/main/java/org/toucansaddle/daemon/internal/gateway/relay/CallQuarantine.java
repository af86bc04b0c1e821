package org.toucansaddle.daemon.internal.gateway.relay;

import org.toucansaddle.daemon.internal.gateway.quarantine.RequestQuarantine;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;

/**
 * The strikes against one call and all equal ones.
 *
 * @param quarantine quarantine of this router
 * @param digest digest of the request, as in {@link RequestDigest}
 */
record CallQuarantine(RequestQuarantine quarantine, long digest) {

  /** Returns whether several upstreams crashed while they ran an equal request. */
  boolean isActive() {
    return quarantine.isQuarantined(digest);
  }

  /** Returns the time until equal requests are no longer refused, in milliseconds. */
  long remainingMillis() {
    return quarantine.remainingMillis(digest);
  }

  /** Returns the number of upstreams known to have crashed while they ran an equal request. */
  int strikes() {
    return quarantine.strikeCount(digest);
  }

  /** Records that the connection to an upstream broke while it had the request. */
  void recordStrike(Upstream upstream) {
    quarantine.recordStrike(digest, upstream.incarnation());
  }

  /** Records that an upstream ran the request successfully. */
  void recordSuccess() {
    quarantine.recordSuccess(digest);
  }
}
