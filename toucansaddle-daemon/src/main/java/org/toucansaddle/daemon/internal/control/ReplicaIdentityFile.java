package org.toucansaddle.daemon.internal.control;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.StorageException;
import org.toucansaddle.daemon.internal.DurableFile;

/**
 * File in a replica's data folder that holds the replica's identity.
 *
 * <p>The identity is generated once per folder and synced to disk before use, so a power loss does
 * not change the identity of a replica that already took part. Stateless and thread-safe.
 */
final class ReplicaIdentityFile {

  private ReplicaIdentityFile() {}

  /**
   * Returns the identity stored in a folder; generates one if the folder has none.
   *
   * @throws StorageException if the file cannot be read, parsed or written
   */
  static ReplicaId loadOrCreate(Path folder, String name) {
    Path file = folder.resolve("identity");
    try {
      Files.createDirectories(folder);
      if (!Files.exists(file)) {
        create(file, new SecureRandom().nextLong());
      }
      String text = Files.readString(file).trim();
      return new ReplicaId(name, Long.parseUnsignedLong(text, 16));
    } catch (IOException | NumberFormatException e) {
      throw new StorageException(
          StorageException.Kind.FAILED,
          "The identity of the control replica cannot be read from or written to "
              + file
              + " ("
              + e.getMessage()
              + "). Check the disk; if the file is damaged, remove the whole folder so that the"
              + " daemon joins as a new replica.",
          e);
    }
  }

  private static void create(Path file, long folderId) throws IOException {
    DurableFile.replace(file, Long.toHexString(folderId).getBytes(StandardCharsets.US_ASCII));
  }
}
