package org.toucansaddle.cli.internal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Option;

/** Options of every command that talks to a daemon. Used by one thread. */
public final class AdminOptions {

  /** Format of what a command prints. */
  public enum Output {
    /** Aligned columns for people. */
    TABLE,
    /** JSON for programs. */
    JSON
  }

  @Option(
      names = "--admin",
      split = ",",
      defaultValue = "${env:TOUCANSADDLE_ADMIN:-127.0.0.1:7200}",
      description = "Admin addresses of daemons, tried in turn. Default: ${DEFAULT-VALUE}")
  private List<String> admins;

  @Option(names = "--token-file", description = "File with the operators' token.")
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
    return new AdminClient(admins, token());
  }

  private String token() {
    if (tokenFile == null) {
      String token = System.getenv("TOUCANSADDLE_TOKEN");
      if (token == null || token.isBlank()) {
        throw CliErrors.missingToken("no --token-file and no TOUCANSADDLE_TOKEN");
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
