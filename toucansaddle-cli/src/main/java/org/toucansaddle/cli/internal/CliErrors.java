package org.toucansaddle.cli.internal;

import picocli.CommandLine;

/** Builds the tool's errors and reports them. Stateless and thread-safe. */
public final class CliErrors {

  static final int FAILED = 1;
  static final int USAGE = 2;
  static final int CONFLICT = 3;
  static final int NOT_FOUND = 4;
  static final int NOT_IN_FORCE = 5;

  private CliErrors() {}

  /** Prints an error and returns its exit code. */
  public static int report(Exception error, CommandLine line) {
    line.getErr().println(error.getMessage());
    return error instanceof CliException e ? e.exitCode() : FAILED;
  }

  static CliException noDaemonResponded(String admins, String why) {
    return new CliException(
        FAILED,
        "No daemon answered at " + admins + " (" + why + "). Name others with --admin HOST:PORT.");
  }

  static CliException requestFailed(int status, String detail) {
    int code =
        switch (status) {
          case 400 -> USAGE;
          case 404 -> NOT_FOUND;
          case 409 -> CONFLICT;
          default -> FAILED;
        };
    return new CliException(code, detail);
  }

  static CliException invalidDuration(String text) {
    return new CliException(
        USAGE, "'" + text + "' is not a duration. Write a number and ms, s or m, such as 500ms.");
  }

  static CliException missingToken(String why) {
    return new CliException(
        USAGE,
        "The operators' token is missing ("
            + why
            + "). Name its file with --token-file or set TOUCANSADDLE_TOKEN.");
  }

  static CliException unreadableFile(String file) {
    return new CliException(
        USAGE, "The file " + file + " cannot be read. Check the path, for example with 'ls -l'.");
  }

  static CliException notInForce(long revision, String members) {
    return new CliException(
        NOT_IN_FORCE,
        "Revision "
            + revision
            + " was accepted but is not yet in force at "
            + members
            + ". Look at 'toucansaddle status' there.");
  }
}
