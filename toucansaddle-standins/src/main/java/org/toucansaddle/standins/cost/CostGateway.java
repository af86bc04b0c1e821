package org.toucansaddle.standins.cost;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.toucansaddle.daemon.gateway.ControlGateway;
import org.toucansaddle.daemon.gateway.ControlGateway.PutOutcome;
import org.toucansaddle.daemon.gateway.GatewaySettings.ControlSettings;
import org.toucansaddle.standins.fleet.FleetProcess;
import org.toucansaddle.standins.fleet.PortAllocator;

/**
 * One router in a process of its own, with control daemons and upstreams in this process.
 *
 * <p>The router has the JVM options of the platform's deployment but for its class archive. The
 * system property {@code cost.jvm} adds options, separated by spaces. Used by one thread.
 */
public final class CostGateway implements AutoCloseable {

  private static final int CONTROL_COUNT = 3;
  private static final int REPORT_INTERVAL_MILLIS = 1_000;
  private static final int DOCUMENT_VERSION = 7;
  private static final int READY_ATTEMPTS = 300;
  private static final int READY_PAUSE_MILLIS = 100;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

  private static final List<String> JVM_OPTIONS =
      List.of(
          "-XX:MaxRAM=400m",
          "-XX:MaxRAMPercentage=24",
          "-XX:MinRAMPercentage=24",
          "-Xss512k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1");

  private final PortAllocator ports = new PortAllocator();
  private final List<ControlGateway> controls = new ArrayList<>();
  private final ScheduledExecutorService reporter = Executors.newSingleThreadScheduledExecutor();
  private final AtomicLong sequence = new AtomicLong();
  private final CostUpstreams upstreams = new CostUpstreams(ports);
  private final String callerAddress = "127.0.0.1:" + ports.allocate();
  private final FleetProcess router;

  /** Starts all parts; data and logs are in a folder. */
  public CostGateway(Path folder) throws IOException {
    Files.createDirectories(folder);
    List<String> seeds = new ArrayList<>();
    for (int i = 0; i < CONTROL_COUNT; i++) {
      seeds.add("127.0.0.1:" + ports.allocate());
    }
    for (int i = 0; i < CONTROL_COUNT; i++) {
      controls.add(
          ControlGateway.start(
              CostDocument.settings("control" + i, seeds.get(i), seeds),
              new ControlSettings(folder.resolve("control" + i), true, CONTROL_COUNT)));
    }
    reporter.scheduleAtFixedRate(this::report, 0, REPORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    router = new FleetProcess("router", command(seeds), folder.resolve("router.log"));
  }

  private List<String> command(List<String> seeds) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JVM_OPTIONS);
    String extra = System.getProperty("cost.jvm", "").strip();
    if (!extra.isEmpty()) {
      command.addAll(List.of(extra.split(" +")));
    }
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(CostRouterMain.class.getName());
    command.add(callerAddress);
    command.add("127.0.0.1:" + ports.allocate());
    command.addAll(seeds);
    return command;
  }

  private void report() {
    upstreams
        .reports(sequence.incrementAndGet())
        .forEach(report -> controls.forEach(control -> control.report(report)));
  }

  /** Stores the document, starts the router and waits until it serves. */
  public void awaitServing() throws Exception {
    byte[] content = Integer.toString(DOCUMENT_VERSION).getBytes(StandardCharsets.UTF_8);
    int attempts = 0;
    while (controls.get(0).put(content, CALL_TIMEOUT).get() != PutOutcome.ACCEPTED) {
      pause(++attempts, "the document was not stored");
    }
    router.start();
    CostCaller caller = new CostCaller(callerAddress);
    while (caller.isRefused("call")) {
      pause(++attempts, "the router does not serve");
    }
  }

  private static void pause(int attempts, String failure) throws InterruptedException {
    if (attempts > READY_ATTEMPTS) {
      throw new IllegalStateException(failure);
    }
    Thread.sleep(READY_PAUSE_MILLIS);
  }

  public String callerAddress() {
    return callerAddress;
  }

  /** Returns the process id of the router. */
  public long routerPid() {
    return router.pid();
  }

  @Override
  public void close() {
    if (router.isAlive()) {
      router.terminate();
      if (!router.awaitExit(12)) {
        router.kill();
      }
    }
    reporter.shutdownNow();
    controls.forEach(ControlGateway::close);
    upstreams.close();
  }
}
