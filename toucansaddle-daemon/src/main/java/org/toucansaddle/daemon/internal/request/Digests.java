package org.toucansaddle.daemon.internal.request;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Computes digests of keys and request contents. Stateless and thread-safe. */
public final class Digests {

  private Digests() {}

  /**
   * Returns the SHA-256 digest of the parts.
   *
   * <p>If there are several parts, each is preceded by its length, so that different parts with the
   * same concatenation have different digests. A single part is digested as it is.
   */
  public static byte[] sha256(byte[]... parts) {
    MessageDigest digest = newSha256();
    if (parts.length == 1) {
      return digest.digest(parts[0]);
    }
    for (byte[] part : parts) {
      digest.update(Integer.toString(part.length).getBytes(StandardCharsets.US_ASCII));
      digest.update((byte) ':');
      digest.update(part);
    }
    return digest.digest();
  }

  private static MessageDigest newSha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "This Java runtime does not support SHA-256. Use a complete Java runtime.", e);
    }
  }

  /** Returns a 64-bit, non-cryptographic digest of a request's method, path and body. */
  public static long contentDigest(String method, String path, byte[] body) {
    HashStream64 stream = Hashing.komihash5_0().hashStream().putString(path).putBytes(body);
    // Earlier versions, which send strikes to this one, digest all requests as POST ones.
    return (method.equals("POST") ? stream : stream.putString(method)).getAsLong();
  }
}
