package org.toucansaddle.daemon.internal;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Replaces whole files so that a loss of power leaves the old or the new content. Stateless. */
public final class DurableFile {

  private DurableFile() {}

  /** Replaces a file and returns once its content and its name are on disk. */
  public static void replace(Path file, byte[] content) throws IOException {
    Path temporary = file.resolveSibling(file.getFileName() + ".new");
    Files.write(temporary, content);
    sync(temporary, StandardOpenOption.WRITE);
    Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    sync(file.getParent(), StandardOpenOption.READ);
  }

  private static void sync(Path path, StandardOpenOption option) throws IOException {
    try (FileChannel channel = FileChannel.open(path, option)) {
      channel.force(true);
    }
  }
}
