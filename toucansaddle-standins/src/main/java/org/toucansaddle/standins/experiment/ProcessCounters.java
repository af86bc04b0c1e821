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
 * Counters of a daemon's process that the operating system keeps.
 *
 * <p>Stateless and thread-safe.
 */
final class ProcessCounters {

  /** Ethernet, IPv4 and TCP headers with time stamps, in bytes. */
  private static final int HEADER_BYTES = 66;

  private static final int TICKS_PER_SECOND = 100;
  private static final int FIELDS_BEFORE_USER_TIME = 11;
  private static final List<String> CONTROL_THREADS =
      List.of("control", "nioEventLoopGro", "timers", "grpc-");
  private static final Pattern PORTS = Pattern.compile(":(\\d+)\\s+\\S+:(\\d+)\\s");
  private static final Pattern HEAP_USED = Pattern.compile("used (\\d+)K");

  private ProcessCounters() {}

  /** Returns the bytes on the wire of a process's connections between daemons, both ways. */
  static long wireBytes(long pid, Set<Integer> peerPorts) {
    long bytes = 0;
    List<String> lines = run("ss", "-tinpHO", "state", "established");
    for (String line : lines) {
      if (line.contains("pid=" + pid + ",") && usesPeerPort(line, peerPorts)) {
        long payload = counter(line, "bytes_sent") + counter(line, "bytes_received");
        long segments = counter(line, "segs_out") + counter(line, "segs_in");
        bytes += payload + segments * HEADER_BYTES;
      }
    }
    return bytes;
  }

  private static boolean usesPeerPort(String line, Set<Integer> peerPorts) {
    Matcher ports = PORTS.matcher(line);
    return ports.find()
        && (peerPorts.contains(Integer.parseInt(ports.group(1)))
            || peerPorts.contains(Integer.parseInt(ports.group(2))));
  }

  private static long counter(String line, String name) {
    Matcher matcher = Pattern.compile("\\b" + name + ":(\\d+)").matcher(line);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
  }

  /** Returns the processor time of a process's control threads, in seconds. */
  static double controlCpuSeconds(long pid) {
    long ticks = 0;
    try (Stream<Path> tasks = Files.list(Path.of("/proc", Long.toString(pid), "task"))) {
      for (Path task : tasks.toList()) {
        ticks += controlTicks(Files.readString(task.resolve("stat")));
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return (double) ticks / TICKS_PER_SECOND;
  }

  private static long controlTicks(String stat) {
    String name = stat.substring(stat.indexOf('(') + 1, stat.lastIndexOf(')'));
    if (CONTROL_THREADS.stream().noneMatch(name::startsWith)) {
      return 0;
    }
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return Long.parseLong(fields[FIELDS_BEFORE_USER_TIME])
        + Long.parseLong(fields[FIELDS_BEFORE_USER_TIME + 1]);
  }

  /** Returns the processor time of a whole process, in seconds. */
  static double cpuSeconds(long pid) {
    try {
      String stat = Files.readString(Path.of("/proc", Long.toString(pid), "stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
      long ticks =
          Long.parseLong(fields[FIELDS_BEFORE_USER_TIME])
              + Long.parseLong(fields[FIELDS_BEFORE_USER_TIME + 1]);
      return (double) ticks / TICKS_PER_SECOND;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the heap that a process retains after a full collection, in bytes. */
  static long retainedHeapBytes(long pid) {
    run("jcmd", Long.toString(pid), "GC.run");
    long kilobytes = 0;
    for (String line : run("jcmd", Long.toString(pid), "GC.heap_info")) {
      boolean generation = line.contains("def new") || line.contains("tenured");
      Matcher used = HEAP_USED.matcher(line);
      if (generation && used.find()) {
        kilobytes += Long.parseLong(used.group(1));
      }
    }
    return kilobytes * 1024;
  }

  private static List<String> run(String... command) {
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
          "The command '"
              + command[0]
              + "' is missing; it comes with Debian's iproute2 (ss) or the JDK (jcmd).",
          e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return lines;
  }
}
