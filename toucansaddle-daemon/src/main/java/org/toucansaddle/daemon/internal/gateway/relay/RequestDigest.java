package org.toucansaddle.daemon.internal.gateway.relay;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Set;
import java.util.stream.Collectors;
import org.toucansaddle.daemon.internal.gateway.relay.RequestHead.PromptPart;

/**
 * Computes the digests by which equal requests and equal parts of their prompts are recognized.
 * Stateless and thread-safe.
 */
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

  /** Returns the digests of the parts of a prompt that other requests may share. */
  static Set<Long> ofSharedParts(RequestHead head) {
    return head.sharedParts().stream().map(RequestDigest::ofPart).collect(Collectors.toSet());
  }

  private static long ofPart(PromptPart part) {
    return Hashing.komihash5_0()
        .hashStream()
        .putString("prompt part")
        .putString(part.id())
        .getAsLong();
  }
}
