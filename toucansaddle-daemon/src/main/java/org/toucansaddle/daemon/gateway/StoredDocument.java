package org.toucansaddle.daemon.gateway;

import java.util.Arrays;

/**
 * A configuration document as it was received. Immutable as long as no caller modifies {@code
 * content}, which is not copied.
 *
 * @param version version of the document; 0 if there is none
 * @param content encoded document
 */
public record StoredDocument(long version, byte[] content) {

  /** Returns the placeholder for the state before the first document. */
  public static StoredDocument none() {
    return new StoredDocument(0, new byte[0]);
  }

  /** Returns whether another document has the same version and content. */
  public boolean isSameAs(StoredDocument other) {
    return version == other.version && Arrays.equals(content, other.content);
  }
}
