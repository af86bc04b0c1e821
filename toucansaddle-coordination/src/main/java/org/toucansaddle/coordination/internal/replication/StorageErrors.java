package org.toucansaddle.coordination.internal.replication;

import java.io.IOException;
import java.nio.file.Path;
import org.toucansaddle.coordination.replication.StorageException;

/** Creates the exceptions of the file storage; each message states the remedy. Thread-safe. */
final class StorageErrors {

  private StorageErrors() {}

  static StorageException corruptFrame(Path path, long position) {
    return new StorageException(
        StorageException.Kind.CORRUPT,
        "The log file "
            + path
            + " fails its checksum at byte "
            + position
            + ", so acknowledged entries may be lost. Move the folder "
            + path.getParent()
            + " aside and restart the daemon; it joins as a new replica and copies the log.",
        null);
  }

  static StorageException ioFailure(Path path, IOException cause) {
    return new StorageException(
        StorageException.Kind.FAILED,
        "I/O error in "
            + path
            + " ("
            + cause.getMessage()
            + "). Check free disk space and permissions, then restart the daemon.",
        cause);
  }
}
