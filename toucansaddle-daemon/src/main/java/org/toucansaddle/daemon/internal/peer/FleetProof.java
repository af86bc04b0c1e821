package org.toucansaddle.daemon.internal.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Proves that a daemon belongs to the fleet, by a keyed hash of who calls whom.
 *
 * <p>The secret itself never travels. Immutable and thread-safe.
 */
public final class FleetProof {

  private static final String MAC_ALGORITHM = "HmacSHA256";

  private final byte[] secret;
  private final String fleet;

  /** Creates a prover and verifier for one fleet. */
  public FleetProof(String fleet, String secret) {
    this.fleet = fleet;
    this.secret = secret.getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the proof that a caller sends. */
  public String createProof(PeerIdentity caller) {
    return HexFormat.of().formatHex(computeMac(caller));
  }

  /** Returns whether a proof was made with the fleet's secret for this caller. */
  public boolean verify(PeerIdentity caller, String proof) {
    byte[] expected = createProof(caller).getBytes(StandardCharsets.US_ASCII);
    return MessageDigest.isEqual(expected, proof.getBytes(StandardCharsets.US_ASCII));
  }

  private byte[] computeMac(PeerIdentity caller) {
    String text =
        String.join("|", fleet, caller.name(), caller.address(), "" + caller.incarnation());
    try {
      Mac mac = Mac.getInstance(MAC_ALGORITHM);
      mac.init(new SecretKeySpec(secret, MAC_ALGORITHM));
      return mac.doFinal(text.getBytes(StandardCharsets.UTF_8));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("This Java runtime lacks " + MAC_ALGORITHM + ".", e);
    }
  }
}
