package org.toucansaddle.standins.experiment;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.toucansaddle.standins.fleet.Fleet;
import org.toucansaddle.standins.fleet.RouterAddresses;

/**
 * Resources that the daemons of a fleet spend on coordination. Immutable.
 *
 * @param bytesPerSecond bytes per second on the wire to and from other daemons, by daemon
 * @param cores CPU usage of the control threads, in cores, by daemon
 */
record ControlCost(List<Double> bytesPerSecond, List<Double> cores) {

  /** Measures a running fleet over {@code seconds}. */
  static ControlCost measure(Fleet fleet, int seconds) {
    Set<Integer> ports = new HashSet<>();
    for (RouterAddresses router : fleet.routers()) {
      ports.add(
          Integer.parseInt(router.peerAddress().substring(router.peerAddress().indexOf(':') + 1)));
    }
    List<Long> pids =
        fleet.routers().stream().map(router -> fleet.process(router.name()).pid()).toList();
    long beginNanos = System.nanoTime();
    List<Long> bytesBefore =
        pids.stream().map(pid -> ProcessCounters.wireBytes(pid, ports)).toList();
    List<Double> cpuSecondsBefore = pids.stream().map(ProcessCounters::controlCpuSeconds).toList();
    SharingScenario.sleep(seconds * 1_000L);
    double elapsedSeconds = (System.nanoTime() - beginNanos) / 1e9;
    List<Double> rates = new ArrayList<>();
    List<Double> cores = new ArrayList<>();
    for (int i = 0; i < pids.size(); i++) {
      long bytesAfter = ProcessCounters.wireBytes(pids.get(i), ports);
      rates.add((bytesAfter - bytesBefore.get(i)) / elapsedSeconds);
      cores.add(
          (ProcessCounters.controlCpuSeconds(pids.get(i)) - cpuSecondsBefore.get(i))
              / elapsedSeconds);
    }
    return new ControlCost(rates, cores);
  }

  /**
   * Returns the largest heap retained by any daemon of a fleet, in bytes.
   *
   * <p>It is an upper bound on the heap retained for coordination.
   */
  static double maxRetainedHeapBytes(Fleet fleet) {
    return fleet.routers().stream()
        .mapToDouble(
            router -> ProcessCounters.retainedHeapBytes(fleet.process(router.name()).pid()))
        .max()
        .orElse(0);
  }

  /** Adds the maxima and means over the daemons to {@code measurements}, names prefixed. */
  void addTo(Measurements measurements, String prefix) {
    measurements
        .put(prefix + "control_bytes_per_s_max", maxBytesPerSecond())
        .put(prefix + "control_bytes_per_s_mean", meanBytesPerSecond())
        .put(prefix + "control_cpu_ratio_max", maxCores())
        .put(prefix + "control_cpu_ratio_mean", meanCores());
  }

  double maxBytesPerSecond() {
    return bytesPerSecond.stream().mapToDouble(rate -> rate).max().orElse(0);
  }

  double meanBytesPerSecond() {
    return bytesPerSecond.stream().mapToDouble(rate -> rate).average().orElse(0);
  }

  double maxCores() {
    return cores.stream().mapToDouble(coreCount -> coreCount).max().orElse(0);
  }

  double meanCores() {
    return cores.stream().mapToDouble(coreCount -> coreCount).average().orElse(0);
  }
}
