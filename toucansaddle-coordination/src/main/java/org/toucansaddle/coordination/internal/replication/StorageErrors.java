package org.toucansaddle.coordination.internal.replication;

import java.io.IOException;
import java.nio.file.Path;
import org.toucansaddle.coordination.replication.StorageException;

/** Builds the errors of the file storage; each message names the remedy. Thread-safe. */
final class StorageErrors {

  private StorageErrors() {}

  static StorageException corruptFrame(Path path, long position) {
    return new StorageException(
        StorageException.Kind.CORRUPT,
        "The log file "
            + path
            + " has a wrong checksum at byte "
            + position
            + ", so entries that were acknowledged may be lost. Move the folder "
            + path.getParent()
            + " aside and restart the daemon: it joins as a new replica and copies the log.",
        null);
  }

  static StorageException ioFailure(Path path, IOException cause) {
    return new StorageException(
        StorageException.Kind.FAILED,
        "The disk under "
            + path
            + " refused a read or write ("
            + cause.getMessage()
            + "). Check free space and permissions, then restart the daemon.",
        cause);
  }
}
