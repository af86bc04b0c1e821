package org.toucansaddle.daemon.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.toucansaddle.daemon.internal.settings.SettingsReader;

/** Reads and validates settings files. Stateless and thread-safe. */
public final class SettingsFile {

  private SettingsFile() {}

  /**
   * Reads a settings file and validates all of its keys.
   *
   * @throws SettingsException with every fault of the file
   */
  public static DaemonSettings read(Path file) {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      SettingsFault fault =
          new SettingsFault(
              "(file)",
              file.toString(),
              "a readable file in UTF-8",
              "check the path, for example with 'ls -l'");
      throw new SettingsException(file.toString(), List.of(fault));
    }
    return parse(file.toString(), text);
  }

  /**
   * Parses the text of a settings file and validates all of its keys.
   *
   * @param fileName name of the file, for messages
   * @throws SettingsException with every fault of the text
   */
  public static DaemonSettings parse(String fileName, String text) {
    JsonNode root;
    try {
      root = new TomlMapper().readTree(text);
    } catch (JsonProcessingException e) {
      SettingsFault fault =
          new SettingsFault(
              "(syntax)",
              e.getOriginalMessage(),
              "TOML",
              "correct the reported line; strings are written in double quotes");
      throw new SettingsException(fileName, List.of(fault));
    }
    return new SettingsReader(root).read(fileName);
  }
}
