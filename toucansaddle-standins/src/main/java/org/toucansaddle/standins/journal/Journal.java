package org.toucansaddle.standins.journal;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Appends what a stand-in ran to a file, one JSON object a line. Thread-safe. */
public final class Journal implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final BufferedWriter writer;

  /** Opens a journal, keeping what an earlier run of the same stand-in wrote. */
  public Journal(Path file) {
    try {
      Files.createDirectories(file.toAbsolutePath().getParent());
      writer = Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns an entry with the time in milliseconds and the kind of event. */
  public static ObjectNode newEntry(String event) {
    return JSON.createObjectNode().put("t", System.currentTimeMillis()).put("event", event);
  }

  /** Writes an entry through to the file. */
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
