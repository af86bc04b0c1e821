package org.toucansaddle.standins.journal;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Append-only file of the events of a stand-in, in JSON Lines format.
 *
 * <p>I/O errors are thrown as {@link UncheckedIOException}. Thread-safe.
 */
public final class Journal implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final BufferedWriter writer;

  /** Opens a journal for appending; creates the file and its folder if they are missing. */
  public Journal(Path file) {
    try {
      Files.createDirectories(file.toAbsolutePath().getParent());
      writer = Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns an entry with the current time, in milliseconds since the epoch, and the event. */
  public static ObjectNode newEntry(String event) {
    return JSON.createObjectNode().put("t", System.currentTimeMillis()).put("event", event);
  }

  /** Appends an entry and flushes it, so that it survives the end of this process. */
  public synchronized void append(ObjectNode entry) {
    try {
      writer.write(entry.toString());
      writer.newLine();
      writer.flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public synchronized void close() {
    try {
      writer.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
