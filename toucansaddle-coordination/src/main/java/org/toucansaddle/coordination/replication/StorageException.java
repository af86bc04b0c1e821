package org.toucansaddle.coordination.replication;

/** A replica's disk failed or holds data that cannot be trusted. Immutable. */
public final class StorageException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** What is wrong with the disk. */
  public enum Kind {
    /** Synced data has a wrong checksum; the replica must not vote with it. */
    CORRUPT,
    /** A read, write or sync failed. */
    FAILED
  }

  private final Kind kind;

  /** Creates an exception; {@code message} names the remedy. */
  public StorageException(Kind kind, String message, Throwable cause) {
    super(message, cause);
    this.kind = kind;
  }

  /** Returns what is wrong. */
  public Kind kind() {
    return kind;
  }
}
