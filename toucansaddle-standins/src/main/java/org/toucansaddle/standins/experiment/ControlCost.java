package org.toucansaddle.standins.experiment;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.toucansaddle.standins.fleet.Fleet;
import org.toucansaddle.standins.fleet.RouterAddresses;

/**
 * What coordination costs a fleet's daemons. Immutable.
 *
 * @param bytesPerSecond bytes on the wire between daemons a second, by daemon, both ways
 * @param cores processor time of the control threads, in cores, by daemon
 */
record ControlCost(List<Double> bytesPerSecond, List<Double> cores) {

  /** Measures a running fleet for some seconds. */
  static ControlCost measure(Fleet fleet, int seconds) {
    Set<Integer> ports = new HashSet<>();
    for (RouterAddresses router : fleet.routers()) {
      ports.add(
          Integer.parseInt(router.peerAddress().substring(router.peerAddress().indexOf(':') + 1)));
    }
    List<Long> pids = fleet.routers().stream().map(r -> fleet.process(r.name()).pid()).toList();
    long begin = System.nanoTime();
    List<Long> bytes = pids.stream().map(pid -> ProcessCounters.wireBytes(pid, ports)).toList();
    List<Double> cpu = pids.stream().map(ProcessCounters::controlCpuSeconds).toList();
    SharingScenario.sleep(seconds * 1_000L);
    double elapsed = (System.nanoTime() - begin) / 1e9;
    List<Double> rates = new ArrayList<>();
    List<Double> cores = new ArrayList<>();
    for (int i = 0; i < pids.size(); i++) {
      long after = ProcessCounters.wireBytes(pids.get(i), ports);
      rates.add((after - bytes.get(i)) / elapsed);
      cores.add((ProcessCounters.controlCpuSeconds(pids.get(i)) - cpu.get(i)) / elapsed);
    }
    return new ControlCost(rates, cores);
  }

  /** Returns the largest heap that a daemon of a fleet retains; it bounds what control retains. */
  static double heapMax(Fleet fleet) {
    return fleet.routers().stream()
        .mapToDouble(r -> ProcessCounters.retainedHeapBytes(fleet.process(r.name()).pid()))
        .max()
        .orElse(0);
  }

  /** Adds the maxima and means to an experiment's figures. */
  void put(Figures figures, String prefix) {
    figures
        .put(prefix + "control_bytes_per_s_max", bytesMax())
        .put(prefix + "control_bytes_per_s_mean", bytesMean())
        .put(prefix + "control_cpu_ratio_max", coresMax())
        .put(prefix + "control_cpu_ratio_mean", coresMean());
  }

  double bytesMax() {
    return bytesPerSecond.stream().mapToDouble(b -> b).max().orElse(0);
  }

  double bytesMean() {
    return bytesPerSecond.stream().mapToDouble(b -> b).average().orElse(0);
  }

  double coresMax() {
    return cores.stream().mapToDouble(c -> c).max().orElse(0);
  }

  double coresMean() {
    return cores.stream().mapToDouble(c -> c).average().orElse(0);
  }
}
