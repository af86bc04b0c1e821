package org.toucansaddle.standins.experiment;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Resource counters of a process, read from the operating system and the JVM.
 *
 * <p>Needs Linux and the commands {@code ss} and {@code jcmd}. Stateless and thread-safe.
 */
final class ProcessCounters {

  /** Ethernet, IPv4 and TCP headers with the timestamp option, per segment. */
  private static final int SEGMENT_HEADER_BYTES = 66;

  private static final int TICKS_PER_SECOND = 100;

  /** Index of the user time after the command name in {@code stat}; the system time follows. */
  private static final int USER_TIME_INDEX = 11;

  /** Name prefixes; Linux truncates thread names to 15 characters. */
  private static final List<String> CONTROL_THREADS =
      List.of("control", "nioEventLoopGro", "timers", "grpc-");

  private static final Pattern PORT_PAIR = Pattern.compile(":(\\d+)\\s+\\S+:(\\d+)\\s");
  private static final Pattern HEAP_USED = Pattern.compile("used (\\d+)K");

  private static final Pattern ALLOCATED = Pattern.compile("allocated=([0-9.]+)([KMG]?)");

  private ProcessCounters() {}

  /** Returns the bytes on the wire, both directions, of the connections of a process with peers. */
  static long wireBytes(long pid, Set<Integer> peerPorts) {
    long bytes = 0;
    List<String> lines = runCommand("ss", "-tinpHO", "state", "established");
    for (String line : lines) {
      if (line.contains("pid=" + pid + ",") && usesPeerPort(line, peerPorts)) {
        long payloadBytes = counter(line, "bytes_sent") + counter(line, "bytes_received");
        long segments = counter(line, "segs_out") + counter(line, "segs_in");
        bytes += payloadBytes + segments * SEGMENT_HEADER_BYTES;
      }
    }
    return bytes;
  }

  private static boolean usesPeerPort(String line, Set<Integer> peerPorts) {
    Matcher portMatcher = PORT_PAIR.matcher(line);
    return portMatcher.find()
        && (peerPorts.contains(Integer.parseInt(portMatcher.group(1)))
            || peerPorts.contains(Integer.parseInt(portMatcher.group(2))));
  }

  private static long counter(String line, String counterName) {
    Matcher matcher = Pattern.compile("\\b" + counterName + ":(\\d+)").matcher(line);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
  }

  /** Returns the CPU time of the control threads of a process, in seconds. */
  static double controlCpuSeconds(long pid) {
    long ticks = 0;
    try (Stream<Path> taskFolders = Files.list(Path.of("/proc", Long.toString(pid), "task"))) {
      for (Path taskFolder : taskFolders.toList()) {
        ticks += controlTicks(Files.readString(taskFolder.resolve("stat")));
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return (double) ticks / TICKS_PER_SECOND;
  }

  private static long controlTicks(String statLine) {
    String threadName = statLine.substring(statLine.indexOf('(') + 1, statLine.lastIndexOf(')'));
    if (CONTROL_THREADS.stream().noneMatch(threadName::startsWith)) {
      return 0;
    }
    String[] fields = statLine.substring(statLine.lastIndexOf(')') + 2).split(" ");
    return Long.parseLong(fields[USER_TIME_INDEX]) + Long.parseLong(fields[USER_TIME_INDEX + 1]);
  }

  /** Returns the CPU time of a whole process, in seconds. */
  static double cpuSeconds(long pid) {
    try {
      String statLine = Files.readString(Path.of("/proc", Long.toString(pid), "stat"));
      String[] fields = statLine.substring(statLine.lastIndexOf(')') + 2).split(" ");
      long ticks =
          Long.parseLong(fields[USER_TIME_INDEX]) + Long.parseLong(fields[USER_TIME_INDEX + 1]);
      return (double) ticks / TICKS_PER_SECOND;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Returns the heap that a process retains after a full garbage collection, in bytes.
   *
   * <p>Reads the heap layout of the serial collector.
   */
  static long retainedHeapBytes(long pid) {
    runCommand("jcmd", Long.toString(pid), "GC.run");
    long kibibytes = 0;
    for (String line : runCommand("jcmd", Long.toString(pid), "GC.heap_info")) {
      boolean isGeneration = line.contains("def new") || line.contains("tenured");
      Matcher usedMatcher = HEAP_USED.matcher(line);
      if (isGeneration && usedMatcher.find()) {
        kibibytes += Long.parseLong(usedMatcher.group(1));
      }
    }
    return kibibytes * 1024;
  }

  /** Returns the bytes that the threads with a name prefix have allocated since their start. */
  static double allocatedBytes(long pid, String threadPrefix) {
    double bytes = 0;
    for (String line : runCommand("jcmd", Long.toString(pid), "Thread.print", "-e")) {
      Matcher matcher = ALLOCATED.matcher(line);
      if (line.startsWith("\"" + threadPrefix) && matcher.find()) {
        int shift = 10 * " KMG".indexOf(matcher.group(2));
        bytes += Double.parseDouble(matcher.group(1)) * (1L << Math.max(0, shift));
      }
    }
    return bytes;
  }

  private static List<String> runCommand(String... command) {
    List<String> lines = new ArrayList<>();
    try {
      Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
      try (BufferedReader reader =
          new BufferedReader(new InputStreamReader(process.getInputStream()))) {
        reader.lines().forEach(lines::add);
      }
      process.waitFor();
    } catch (IOException e) {
      throw new IllegalStateException(
          "Failed to run the command '"
              + command[0]
              + "'. Install the Debian package iproute2 for ss, or a JDK for jcmd.",
          e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return lines;
  }
}
