package org.toucansaddle.daemon.internal.gateway.relay;

import com.dynatrace.hash4j.hashing.Hashing;

/** Computes the digest by which equal requests are recognized. Stateless and thread-safe. */
final class RequestDigest {

  private RequestDigest() {}

  /** Returns the digest of a request; equal for requests with the same path, account and body. */
  static long of(RequestHead head, String account, byte[] body) {
    return Hashing.komihash5_0()
        .hashStream()
        .putString(head.host())
        .putString(head.path())
        .putString(account)
        .putByteArray(body)
        .getAsLong();
  }
}
