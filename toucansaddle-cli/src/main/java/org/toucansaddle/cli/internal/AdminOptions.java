package org.toucansaddle.cli.internal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Option;

/** Options of the commands that call a daemon's admin API. Not thread-safe. */
public final class AdminOptions {

  /** Output format of a command. */
  public enum Output {
    /** Aligned columns. */
    TABLE,
    /** JSON, for programs. */
    JSON
  }

  @Option(
      names = "--admin",
      split = ",",
      defaultValue = "${env:TOUCANSADDLE_ADMIN:-127.0.0.1:7200}",
      description = "Admin addresses of daemons, tried in order. Default: ${DEFAULT-VALUE}")
  private List<String> admins;

  @Option(names = "--token-file", description = "File that contains the operator token.")
  private Path tokenFile;

  @Option(
      names = "--output",
      defaultValue = "table",
      description = "Output format: ${COMPLETION-CANDIDATES}. Default: ${DEFAULT-VALUE}")
  private Output output;

  boolean isJson() {
    return output == Output.JSON;
  }

  AdminClient createClient() {
    return new AdminClient(admins, readToken());
  }

  private String readToken() {
    if (tokenFile == null) {
      String token = System.getenv("TOUCANSADDLE_TOKEN");
      if (token == null || token.isBlank()) {
        throw CliErrors.missingToken("neither --token-file nor TOUCANSADDLE_TOKEN is set");
      }
      return token.trim();
    }
    try {
      return Files.readString(tokenFile).trim();
    } catch (IOException e) {
      throw CliErrors.missingToken("cannot read " + tokenFile);
    }
  }
}
