package org.toucansaddle.daemon.internal.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Creates and verifies proofs that a caller belongs to the fleet.
 *
 * <p>A proof is an HMAC over the fleet's name and the caller's identity, keyed with the fleet's
 * secret. The secret itself is never sent. Immutable and thread-safe.
 */
public final class FleetProof {

  private static final String MAC_ALGORITHM = "HmacSHA256";

  private final byte[] secret;
  private final String fleet;

  /** Creates an instance for one fleet and its shared secret. */
  public FleetProof(String fleet, String secret) {
    this.fleet = fleet;
    this.secret = secret.getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the proof for a caller, in hexadecimal digits. */
  public String createProof(PeerIdentity caller) {
    return HexFormat.of().formatHex(computeMac(caller));
  }

  /** Returns whether a proof was created for this caller with the fleet's secret. */
  public boolean verify(PeerIdentity caller, String proof) {
    byte[] expected = createProof(caller).getBytes(StandardCharsets.US_ASCII);
    return MessageDigest.isEqual(expected, proof.getBytes(StandardCharsets.US_ASCII));
  }

  private byte[] computeMac(PeerIdentity caller) {
    String signedText =
        String.join("|", fleet, caller.name(), caller.address(), "" + caller.incarnation());
    try {
      Mac mac = Mac.getInstance(MAC_ALGORITHM);
      mac.init(new SecretKeySpec(secret, MAC_ALGORITHM));
      return mac.doFinal(signedText.getBytes(StandardCharsets.UTF_8));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("This Java runtime lacks " + MAC_ALGORITHM + ".", e);
    }
  }
}
