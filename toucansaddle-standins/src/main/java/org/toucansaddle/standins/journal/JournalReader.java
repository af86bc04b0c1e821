package org.toucansaddle.standins.journal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Reads the journals of a folder. Stateless and thread-safe. */
public final class JournalReader {

  private static final ObjectMapper JSON = new ObjectMapper();

  private JournalReader() {}

  /**
   * Returns the entries of all {@code .jsonl} files of a folder, sorted by time. A truncated line,
   * as a killed process leaves at the end of its file, is skipped.
   *
   * @throws UncheckedIOException if a file cannot be read or a line is not valid JSON
   */
  public static List<JournalEntry> read(Path folder) {
    List<JournalEntry> entries = new ArrayList<>();
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".jsonl")).sorted().toList()) {
        for (String line : Files.readAllLines(file)) {
          if (line.endsWith("}")) {
            JsonNode node = JSON.readTree(line);
            entries.add(
                new JournalEntry(node.path("t").asLong(), node.path("event").asText(), node));
          }
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    entries.sort(Comparator.comparingLong(JournalEntry::timeMillis));
    return entries;
  }
}
