package org.toucansaddle.cli.internal;

import picocli.CommandLine;

/** Creates the errors of the tool and prints them. Stateless and thread-safe. */
public final class CliErrors {

  static final int EXIT_FAILED = 1;
  static final int EXIT_USAGE = 2;
  static final int EXIT_CONFLICT = 3;
  static final int EXIT_NOT_FOUND = 4;
  static final int EXIT_NOT_IN_FORCE = 5;
  static final int EXIT_NO_ROUTE = 6;
  static final int EXIT_UNKNOWN_ACCOUNT = 7;
  static final int EXIT_NO_ROUTER = 8;

  private CliErrors() {}

  /** Prints the message of an error and returns its exit code. */
  public static int report(Exception error, CommandLine commandLine) {
    commandLine.getErr().println(error.getMessage());
    return error instanceof CliException e ? e.exitCode() : EXIT_FAILED;
  }

  static CliException noDaemonResponded(String addresses, String reason) {
    return new CliException(
        EXIT_FAILED,
        "No daemon responded at "
            + addresses
            + " ("
            + reason
            + "). Specify other addresses with --admin HOST:PORT.");
  }

  static CliException noRouterResponded(String addresses, String reason) {
    return new CliException(
        EXIT_NO_ROUTER,
        ("No router answered at %s (%s). Specify the operators' address of a router with"
                + " --admin HOST:PORT; its settings name it, and routers have none by default.")
            .formatted(addresses, reason));
  }

  static CliException invalidPrefix(String text) {
    return new CliException(
        EXIT_USAGE,
        "'" + text + "' is not a part of a prompt. Use ID:TOKENS, such as session-7:1200.");
  }

  /** Returns the error of a request that was answered; {@code type} is its short name. */
  static CliException requestFailed(int httpStatus, String type, String detail) {
    return switch (type) {
      case "no-route" -> new CliException(EXIT_NO_ROUTE, detail);
      case "unknown-account" -> new CliException(EXIT_UNKNOWN_ACCOUNT, detail);
      default -> requestFailed(httpStatus, detail);
    };
  }

  static CliException requestFailed(int httpStatus, String detail) {
    int exitCode =
        switch (httpStatus) {
          case 400 -> EXIT_USAGE;
          case 404 -> EXIT_NOT_FOUND;
          case 409 -> EXIT_CONFLICT;
          default -> EXIT_FAILED;
        };
    return new CliException(exitCode, detail);
  }

  static CliException invalidDuration(String text) {
    return new CliException(
        EXIT_USAGE,
        "'" + text + "' is not a duration. Use a number and ms, s or m, such as 500ms.");
  }

  static CliException missingToken(String reason) {
    return new CliException(
        EXIT_USAGE,
        "The operator token is missing ("
            + reason
            + "). Specify its file with --token-file or set TOUCANSADDLE_TOKEN.");
  }

  static CliException unreadableFile(String path) {
    return new CliException(
        EXIT_USAGE,
        "The file " + path + " cannot be read. Check the path, for example with 'ls -l'.");
  }

  static CliException notInForce(long revision, String routers) {
    return new CliException(
        EXIT_NOT_IN_FORCE,
        "Revision "
            + revision
            + " was accepted but is not yet in force at "
            + routers
            + ". Run 'toucansaddle status' against these routers.");
  }
}
