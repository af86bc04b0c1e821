package org.toucansaddle.standins.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.toucansaddle.standins.cost.CostCaller;
import org.toucansaddle.standins.cost.CostGateway;

/**
 * Measures the processor time of one router for each kind of request, in the first seconds after
 * its start and warm, and the memory that its I/O thread allocates for it.
 *
 * <p>Callers send at a fixed rate, far below what the router can serve, so that the time is that of
 * the requests and not of a queue. Time of the idle router is taken off the warm figures. Stateless
 * and thread-safe.
 */
final class RequestCostExperiment implements Experiment {

  /**
   * Load of one kind. Immutable.
   *
   * @param promptTokens tokens of each prompt; 0 for requests to another service
   * @param renews whether each request has a connection of its own
   */
  private record Load(
      String name, String route, int promptTokens, int callers, int perSecond, boolean renews) {}

  private static final int HUGE_PROMPT = 20_000;

  private static final Load STREAMS = new Load("stream", "stream", 200, 24, 60, false);
  private static final Load CALLS = new Load("call", "call", 0, 8, 200, false);
  private static final Load REFUSALS = new Load("refusal", "stream", HUGE_PROMPT, 16, 200, false);
  private static final Load RENEWING =
      new Load("refusal_new_connection", "stream", HUGE_PROMPT, 16, 200, true);

  private static final int COLD_SECONDS = 3;
  private static final int WARM_UP_SECONDS = 3;
  private static final int OK = 200;
  private static final String IO_THREAD = "requests I/O";

  @Override
  public Measurements run(ExperimentRun run) {
    Measurements measurements = new Measurements();
    try (CostGateway gateway = new CostGateway(run.folder())) {
      gateway.awaitServing();
      put(measurements, "cold_", REFUSALS, gateway, COLD_SECONDS, 0);
      put(measurements, "cold_", STREAMS, gateway, COLD_SECONDS, 0);
      for (Load load : List.of(CALLS, RENEWING, REFUSALS, STREAMS)) {
        send(load, gateway.callerAddress(), WARM_UP_SECONDS);
      }
      SharingScenario.sleep(3_000);
      double idle = idleCpuMillisPerSecond(gateway, run.seconds());
      measurements.put("idle_cpu_ms_per_s", idle);
      for (Load load : List.of(STREAMS, CALLS, REFUSALS, RENEWING)) {
        put(measurements, "", load, gateway, run.seconds(), idle);
      }
      return measurements;
    } catch (Exception e) {
      throw new IllegalStateException("The gateway of the experiment failed.", e);
    }
  }

  private static double idleCpuMillisPerSecond(CostGateway gateway, int seconds) {
    double before = ProcessCounters.cpuSeconds(gateway.routerPid());
    SharingScenario.sleep(seconds * 1_000);
    return (ProcessCounters.cpuSeconds(gateway.routerPid()) - before) * 1e3 / seconds;
  }

  private static void put(
      Measurements measurements,
      String prefix,
      Load load,
      CostGateway gateway,
      int seconds,
      double idleMillisPerSecond) {
    double allocatedBefore = ProcessCounters.allocatedBytes(gateway.routerPid(), IO_THREAD);
    double cpuBefore = ProcessCounters.cpuSeconds(gateway.routerPid());
    long begin = System.nanoTime();
    Counts counts = send(load, gateway.callerAddress(), seconds);
    double elapsedSeconds = (System.nanoTime() - begin) / 1e9;
    double cpuMillis = (ProcessCounters.cpuSeconds(gateway.routerPid()) - cpuBefore) * 1e3;
    double allocatedKilobytes =
        (ProcessCounters.allocatedBytes(gateway.routerPid(), IO_THREAD) - allocatedBefore) / 1e3;
    String name = prefix + load.name();
    int requests = counts.served().get() + counts.refused().get();
    measurements
        .put(name + "_cpu_ms", (cpuMillis - idleMillisPerSecond * elapsedSeconds) / requests)
        .put(name + "_allocated_kb", allocatedKilobytes / requests)
        .put(name + "_served", counts.served().get())
        .put(name + "_refused", counts.refused().get())
        .put(name + "_failed", counts.failed().get());
  }

  private record Counts(AtomicInteger served, AtomicInteger refused, AtomicInteger failed) {}

  private static Counts send(Load load, String address, int seconds) {
    Counts counts = new Counts(new AtomicInteger(), new AtomicInteger(), new AtomicInteger());
    long end = System.nanoTime() + seconds * 1_000_000_000L;
    ExecutorService threads = Executors.newFixedThreadPool(load.callers());
    try {
      List<Future<?>> callers = new ArrayList<>();
      for (int i = 0; i < load.callers(); i++) {
        int index = i;
        callers.add(threads.submit(() -> call(load, address, index, end, counts)));
      }
      for (Future<?> caller : callers) {
        caller.get();
      }
    } catch (Exception e) {
      throw new IllegalStateException("A caller failed.", e);
    } finally {
      threads.shutdownNow();
    }
    return counts;
  }

  private static void call(Load load, String address, int index, long end, Counts counts) {
    long interval = 1_000_000_000L * load.callers() / load.perSecond();
    long due = System.nanoTime() + interval * index / load.callers();
    try (CostCaller caller = new CostCaller(address)) {
      for (; due < end; due += interval) {
        SharingScenario.sleep((int) Math.max(0, (due - System.nanoTime()) / 1_000_000));
        try {
          int account = load.promptTokens() == HUGE_PROMPT ? 0 : index + 1;
          int status = caller.send(load.route(), account, load.promptTokens(), load.renews());
          (status == OK ? counts.served() : counts.refused()).incrementAndGet();
        } catch (IOException e) {
          caller.close();
          counts.failed().incrementAndGet();
        }
      }
    }
  }
}
