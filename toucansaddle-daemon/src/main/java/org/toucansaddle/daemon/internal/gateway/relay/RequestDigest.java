package org.toucansaddle.daemon.internal.gateway.relay;

import com.dynatrace.hash4j.hashing.HashStream64;
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

  /**
   * Returns the digest of a request; equal for requests with the same method, host, path, query,
   * account and body, whatever their other header fields.
   */
  static long of(RequestHead head, String account, byte[] body) {
    HashStream64 stream =
        Hashing.komihash5_0()
            .hashStream()
            .putString(head.host())
            .putString(head.target())
            .putString(account)
            .putByteArray(body);
    // Keeps the digests of POST requests without a query as earlier versions stored them.
    return (head.method().equals("POST") ? stream : stream.putString(head.method())).getAsLong();
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
