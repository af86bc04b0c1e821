package org.toucansaddle.standins.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process of a fleet on loopback. Thread-safe.
 *
 * <p>Signals go to this process's id only.
 */
public final class FleetProcess {

  private final String name;
  private final List<String> command;
  private final Path logFile;
  private volatile Process process;

  /** Creates a process that is not started yet. */
  public FleetProcess(String name, List<String> command, Path log) {
    this.name = name;
    this.command = List.copyOf(command);
    this.logFile = log;
  }

  /** Returns a command that runs a main class of this class path. */
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

  /** Starts the process; its output is appended to its log file. */
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

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  public boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Ends the process at once. */
  public void kill() {
    process.destroyForcibly();
    awaitExit(5);
  }

  /** Asks the process to end. */
  public void terminate() {
    process.destroy();
  }

  /** Sends a signal by name, such as STOP or CONT. */
  public void signal(String signal) {
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits for the end; returns whether it came in time. */
  public boolean awaitExit(int seconds) {
    try {
      return process.waitFor(seconds, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
