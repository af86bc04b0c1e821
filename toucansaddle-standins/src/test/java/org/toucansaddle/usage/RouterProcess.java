package org.toucansaddle.usage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.toucansaddle.daemon.gateway.DocumentFormat;
import org.toucansaddle.daemon.gateway.GatewaySettings;
import org.toucansaddle.daemon.gateway.RouterGateway;
import org.toucansaddle.standins.fleet.FleetProcess;

/** Router of a {@link LocalGateway} in a process of its own. Used by one thread. */
final class RouterProcess implements AutoCloseable {

  private static final int HEAP_MEGABYTES = 128;

  private final FleetProcess process;
  private final String callerAddress;

  private RouterProcess(FleetProcess process, String callerAddress) {
    this.process = process;
    this.callerAddress = callerAddress;
  }

  /** Starts a router that may open a limited number of file descriptors. */
  static RouterProcess startWithDescriptors(LocalGateway gateway, int maxDescriptors)
      throws IOException {
    return start(gateway, maxDescriptors, HEAP_MEGABYTES);
  }

  /** Starts a router with limits on its file descriptors and its heap, in megabytes. */
  static RouterProcess start(LocalGateway gateway, int maxDescriptors, int heapMegabytes)
      throws IOException {
    return start(gateway, maxDescriptors, heapMegabytes, RouterProcess.class);
  }

  /** Starts a router in a class whose main method calls {@link #run}. */
  static RouterProcess start(
      LocalGateway gateway, int maxDescriptors, int heapMegabytes, Class<?> mainClass)
      throws IOException {
    String callerAddress = gateway.allocateAddress();
    List<String> arguments =
        new ArrayList<>(
            List.of(callerAddress, gateway.allocateAddress(), Integer.toString(maxDescriptors)));
    arguments.addAll(gateway.seeds());
    List<String> command =
        new ArrayList<>(
            List.of("bash", "-c", "ulimit -n " + maxDescriptors + "; exec \"$@\"", "router"));
    command.addAll(FleetProcess.javaCommand(heapMegabytes, 1, mainClass, arguments));
    Path log = Files.createTempFile("router", ".log");
    FleetProcess process = new FleetProcess("router", command, log);
    process.start();
    return new RouterProcess(process, callerAddress);
  }

  /** Runs a router; the arguments are its addresses for callers and peers, its limit, the seeds. */
  public static void main(String[] args) throws Exception {
    run(args, LocalGateway::parseDocument);
  }

  /** Runs a router whose documents have a format of their own. */
  static void run(String[] args, DocumentFormat format) throws Exception {
    List<String> seeds = List.of(args).subList(3, args.length);
    GatewaySettings settings = LocalGateway.settings("router-process", args[1], seeds, format);
    RouterGateway.start(settings, LocalGateway.routerSettings(args[0], Integer.parseInt(args[2])));
    Thread.currentThread().join();
  }

  String callerAddress() {
    return callerAddress;
  }

  Path logFile() {
    return process.logFile();
  }

  /** Sends a signal such as {@code STOP} to the process. */
  void signal(String name) {
    process.signal(name);
  }

  @Override
  public void close() {
    process.kill();
  }
}
