package org.toucansaddle.cli.internal;

/** Failure of a command, with the exit code of the process. Immutable. */
final class CliException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final int exitCode;

  CliException(int exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  int exitCode() {
    return exitCode;
  }
}
