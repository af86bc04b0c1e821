package org.toucansaddle.daemon.gateway;

import java.util.Arrays;

/**
 * A configuration document as it was sent. Immutable by agreement: nobody changes {@code content}.
 *
 * @param version its version; 0 if there is none
 * @param content its bytes
 */
public record StoredDocument(long version, byte[] content) {

  /** Returns the state before the first document. */
  public static StoredDocument none() {
    return new StoredDocument(0, new byte[0]);
  }

  /** Returns whether another document has the same version and bytes. */
  public boolean isSameAs(StoredDocument other) {
    return version == other.version && Arrays.equals(content, other.content);
  }
}
