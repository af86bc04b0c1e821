package org.toucansaddle.daemon.internal.request;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Digests of keys and contents. Stateless and thread-safe. */
public final class Digests {

  private Digests() {}

  /** Returns the SHA-256 digest of the parts, each preceded by its length. */
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
      throw new IllegalStateException("This Java runtime lacks SHA-256.", e);
    }
  }

  /** Returns a 64-bit digest of a request's content. */
  public static long contentDigest(String path, byte[] body) {
    return Hashing.komihash5_0().hashStream().putString(path).putBytes(body).getAsLong();
  }
}
