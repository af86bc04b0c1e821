package org.toucansaddle.coordination.replication;

/** Thrown when a replica's disk fails or its data is corrupt. Immutable. */
public final class StorageException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Type of the failure. */
  public enum Kind {
    /** Synced data fails its checksum; the replica must not vote on the basis of it. */
    CORRUPT,
    /** A read, write or sync failed. */
    FAILED
  }

  private final Kind kind;

  /** Creates an exception; {@code message} states the remedy. */
  public StorageException(Kind kind, String message, Throwable cause) {
    super(message, cause);
    this.kind = kind;
  }

  /** Returns the type of the failure. */
  public Kind kind() {
    return kind;
  }
}
