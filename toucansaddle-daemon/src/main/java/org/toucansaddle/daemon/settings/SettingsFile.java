package org.toucansaddle.daemon.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.toucansaddle.daemon.internal.settings.SettingsReader;

/** Reads settings files. Stateless and thread-safe. */
public final class SettingsFile {

  private SettingsFile() {}

  /**
   * Reads and checks a settings file as a whole.
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
   * Checks the text of a settings file as a whole.
   *
   * @param name name of the file, for messages
   * @throws SettingsException with every fault of the text
   */
  public static DaemonSettings parse(String name, String text) {
    JsonNode root;
    try {
      root = new TomlMapper().readTree(text);
    } catch (JsonProcessingException e) {
      SettingsFault fault =
          new SettingsFault(
              "(syntax)",
              e.getOriginalMessage(),
              "TOML",
              "mend the line it names; a string is written in double quotes");
      throw new SettingsException(name, List.of(fault));
    }
    return new SettingsReader(root).read(name);
  }
}
