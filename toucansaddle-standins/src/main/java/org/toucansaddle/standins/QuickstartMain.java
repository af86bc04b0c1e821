package org.toucansaddle.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.standins.fleet.Fleet;
import org.toucansaddle.standins.fleet.FleetSpec;
import org.toucansaddle.standins.fleet.FleetSpec.UpstreamGroup;
import org.toucansaddle.standins.load.Caller;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Starts a small fleet, sends one request of each work class and stops the fleet, or leaves it
 * running on request. Confined to one thread.
 */
@Command(
    name = "quickstart",
    mixinStandardHelpOptions = true,
    description = "Runs a small fleet on loopback and sends it one request of each work class.")
public final class QuickstartMain implements Callable<Integer> {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Path OUTPUT_FOLDER = Path.of("target", "quickstart");
  private static final Path DESCRIPTION_FILE = OUTPUT_FOLDER.resolve("fleet.json");
  private static final List<String> ACCOUNTS =
      List.of("lessor-north", "lessor-south", "fleet-office", "captain");

  /**
   * A work class that a model serves.
   *
   * @param firstTokenTarget target time to the first token, with unit
   * @param wholeAnswerTarget target time to the whole answer, with unit
   */
  private record DemoClass(
      String name, String pool, String firstTokenTarget, String wholeAnswerTarget) {}

  private static final List<DemoClass> CLASSES =
      List.of(
          new DemoClass("records-reconciliation", "inspection-model", "2s", "60s"),
          new DemoClass("defect-write-up", "inspection-model", "1s", "30s"),
          new DemoClass("finding-summary", "inspection-model", "1s", "20s"),
          new DemoClass("long-briefing", "chart-model", "2s", "60s"),
          new DemoClass("short-answer", "chart-model", "500ms", "8s"),
          new DemoClass("chart-tile-tag", "chart-model", "500ms", "4s"));

  @Option(
      names = "--keep",
      description = "Leave the fleet running and write its description to a file.")
  private boolean keep;

  @Option(names = "--stop", description = "Stop a fleet that was started with --keep.")
  private boolean stop;

  @Option(names = "--routers", defaultValue = "3", description = "Number of routers. Default: 3")
  private int routers;

  @Option(
      names = "--engines",
      defaultValue = "2",
      description = "Number of model engines. Default: 2")
  private int engines;

  @Option(names = "--slots", defaultValue = "8", description = "Slots per engine. Default: 8")
  private int slots;

  public static void main(String[] args) {
    System.exit(new CommandLine(new QuickstartMain()).execute(args));
  }

  @Override
  public Integer call() throws IOException {
    if (stop) {
      return stopRunningFleet();
    }
    deleteRecursively(OUTPUT_FOLDER);
    Fleet fleet = Fleet.start(OUTPUT_FOLDER, FleetSpec.of(routers).withUpstreams(upstreamGroups()));
    boolean allComplete = false;
    try {
      fleet.awaitReady();
      configure(fleet);
      allComplete = sendOneRequestPerClass(fleet);
      fleet.writeDescription(DESCRIPTION_FILE);
    } finally {
      if (!keep) {
        fleet.close();
      }
    }
    System.out.println(
        allComplete
            ? "All responses are complete."
            : "At least one response failed or is incomplete.");
    if (keep) {
      System.out.println("The fleet keeps running; it is described in " + DESCRIPTION_FILE);
    }
    return allComplete ? 0 : 1;
  }

  private static void deleteRecursively(Path folder) throws IOException {
    if (!Files.exists(folder)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  private List<UpstreamGroup> upstreamGroups() {
    List<UpstreamGroup> groups = new ArrayList<>();
    for (int i = 1; i <= engines; i++) {
      String pool = i % 2 == 1 ? "inspection-model" : "chart-model";
      groups.add(new UpstreamGroup("engine", "engine-" + i, pool, 1, slots, 10));
    }
    groups.add(new UpstreamGroup("service", "defects-1", "defects", 1, slots, 20));
    return groups;
  }

  private static void configure(Fleet fleet) {
    for (DemoClass workClass : CLASSES) {
      fleet.createModelClass(
          workClass.name(),
          workClass.pool(),
          workClass.firstTokenTarget(),
          workClass.wholeAnswerTarget());
    }
    fleet.createServiceClass("defect-record", "defects", "5s");
    ACCOUNTS.forEach(fleet::createAccount);
    fleet.runOperatorCommand("class", "list");
  }

  private boolean sendOneRequestPerClass(Fleet fleet) {
    try (HttpClient client = HttpClient.create(HttpClientSettings.defaults())) {
      Caller caller = new Caller(client);
      boolean allComplete = true;
      int requestIndex = 0;
      for (DemoClass workClass : CLASSES) {
        String router = fleet.routers().get(requestIndex % routers).callerAddress();
        String key = fleet.accountKeys().get(ACCOUNTS.get(requestIndex % ACCOUNTS.size()));
        String prompt = "Please answer for class " + workClass.name();
        Caller.Result result =
            caller.sendModelRequest(router, key, workClass.name(), prompt, "").join();
        allComplete &= printResult(workClass.name(), router, result);
        requestIndex++;
      }
      String router = fleet.routers().get(requestIndex % routers).callerAddress();
      String key = fleet.accountKeys().get(ACCOUNTS.get(0));
      Caller.Result result =
          caller
              .sendServiceCall(router, key, "defect-record", "/services/defects/record", "demo-1")
              .join();
      return allComplete & printResult("defect-record", router, result);
    }
  }

  private static boolean printResult(String name, String router, Caller.Result result) {
    String text = result.text();
    String excerpt = text.length() > 60 ? text.substring(0, 60) + "..." : text;
    System.out.printf("%-24s via %s: %s %s%n", name, router, result.outcome(), excerpt);
    return result.outcome() == Caller.Outcome.WHOLE;
  }

  private static int stopRunningFleet() throws IOException {
    if (!Files.exists(DESCRIPTION_FILE)) {
      System.err.println(
          "Found no fleet description at " + DESCRIPTION_FILE + "; nothing to stop.");
      return 1;
    }
    JsonNode description = JSON.readTree(DESCRIPTION_FILE.toFile());
    for (JsonNode process : description.path("processes")) {
      ProcessHandle.of(process.path("pid").asLong()).ifPresent(ProcessHandle::destroy);
    }
    Files.delete(DESCRIPTION_FILE);
    System.out.println("Stopped.");
    return 0;
  }
}
