package org.toucansaddle.standins.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process of a fleet, which can be restarted after it has ended.
 *
 * <p>Signals are sent to the process id of the latest start only. I/O errors are thrown as {@link
 * UncheckedIOException}. Thread-safe, except that starts must not overlap.
 */
public final class FleetProcess {

  private final String name;
  private final List<String> command;
  private final Path logFile;
  private volatile Process process;

  /**
   * Creates a process without starting it.
   *
   * @param logFile file to which standard output and standard error are appended
   */
  public FleetProcess(String name, List<String> command, Path logFile) {
    this.name = name;
    this.command = List.copyOf(command);
    this.logFile = logFile;
  }

  /**
   * Returns a command that runs a main class with the Java runtime and class path of this process.
   *
   * @param heapMegabytes maximum heap size in MB
   * @param compilerLevel highest level of tiered compilation, 1 to 4
   */
  public static List<String> javaCommand(
      int heapMegabytes, int compilerLevel, Class<?> main, List<String> arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add("-Xmx" + heapMegabytes + "m");
    command.add("-XX:+UseSerialGC");
    command.add("-XX:TieredStopAtLevel=" + compilerLevel);
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(main.getName());
    command.addAll(arguments);
    return command;
  }

  /** Starts the process. */
  public void start() {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
    try {
      process = builder.start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  public String name() {
    return name;
  }

  public Path logFile() {
    return logFile;
  }

  /** Returns the id of the process, which must have been started. */
  public long pid() {
    return process.pid();
  }

  public boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Kills the process and waits up to 5 s until it has ended. */
  public void kill() {
    process.destroyForcibly();
    awaitExit(5);
  }

  /** Requests an orderly shutdown of the process (SIGTERM). */
  public void terminate() {
    process.destroy();
  }

  /** Sends a signal, given by its name without SIG, such as STOP or CONT. */
  public void signal(String signal) {
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until the process has ended; returns false on a timeout or an interrupt. */
  public boolean awaitExit(int timeoutSeconds) {
    try {
      return process.waitFor(timeoutSeconds, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
