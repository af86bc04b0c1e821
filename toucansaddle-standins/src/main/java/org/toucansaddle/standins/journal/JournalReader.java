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

  /** Returns all entries in the order of their times; a line cut short at the end is left out. */
  public static List<JournalEntry> read(Path folder) {
    List<JournalEntry> entries = new ArrayList<>();
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.filter(f -> f.toString().endsWith(".jsonl")).sorted().toList()) {
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
