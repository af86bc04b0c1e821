package org.toucansaddle.standins;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.toucansaddle.standins.announce.Announcer;
import org.toucansaddle.standins.engine.EngineSettings;
import org.toucansaddle.standins.engine.StandinEngine;
import org.toucansaddle.standins.journal.Journal;
import org.toucansaddle.standins.service.ServiceSettings;
import org.toucansaddle.standins.service.StandinService;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs stand-in upstreams until the process is stopped. Confined to one thread. */
@Command(
    name = "standin",
    mixinStandardHelpOptions = true,
    description = "Runs stand-in model engines or plain services that announce themselves.")
public final class UpstreamMain {

  private static final ObjectMapper JSON = new ObjectMapper();

  @Option(
      names = "--routers",
      split = ",",
      required = true,
      description = "Caller addresses of the routers, as HOST:PORT.")
  private List<String> routers;

  @Option(names = "--id", required = true, description = "Name; several upstreams are numbered.")
  private String id;

  @Option(
      names = "--port",
      required = true,
      description = "Port of the first upstream; the others use the ports after it.")
  private int port;

  @Option(names = "--pool", required = true, description = "Name of the model or service.")
  private String pool;

  @Option(
      names = "--slots",
      defaultValue = "8",
      description = "Concurrent requests per upstream. Default: 8")
  private int slots;

  @Option(
      names = "--zone",
      defaultValue = "zone-a",
      description = "Availability zone. Default: zone-a")
  private String zone;

  @Option(names = "--journal", required = true, description = "Folder of the journals.")
  private Path journalFolder;

  public static void main(String[] args) {
    System.exit(new CommandLine(new UpstreamMain()).execute(args));
  }

  @Command(name = "engine", description = "Runs model engines.")
  void engine(
      @Option(names = "--count", defaultValue = "1", description = "Number of engines. Default: 1")
          int count,
      @Option(
              names = "--step-millis",
              defaultValue = "10",
              description = "Duration of a step in ms. Default: 10")
          int stepMillis,
      @Option(names = "--loadable", split = ",", description = "Models that an engine can load.")
          List<String> loadable,
      @Option(
              names = "--load-millis",
              defaultValue = "2000",
              description = "Duration of a model load in ms. Default: 2000")
          int loadMillis,
      @Option(
              names = "--checks-fencing",
              description = "Refuse placement orders with an outdated fencing token.")
          boolean checksFencing)
      throws InterruptedException {
    for (int i = 0; i < count; i++) {
      String name = count == 1 ? id : id + "-" + (i + 1);
      EngineSettings settings =
          new EngineSettings(name, port + i, pool, slots, stepMillis, zone)
              .withPlacementOrders(
                  loadable == null ? List.of() : loadable, loadMillis, checksFencing);
      Journal journal = new Journal(journalFolder.resolve(name + ".jsonl"));
      StandinEngine engine = new StandinEngine(settings, journal);
      ObjectNode constantFields = newAnnouncement("model", name, port + i);
      new Announcer(routers, () -> engine.fillAnnouncement(constantFields.deepCopy()));
    }
    new CountDownLatch(1).await();
  }

  @Command(name = "service", description = "Runs a plain service.")
  void service(
      @Option(
              names = "--delay-millis",
              defaultValue = "20",
              description = "Response delay of a call in ms. Default: 20")
          int delayMillis)
      throws InterruptedException {
    ServiceSettings settings = new ServiceSettings(id, port, pool, slots, delayMillis, zone);
    Journal journal = new Journal(journalFolder.resolve(id + ".jsonl"));
    StandinService service = new StandinService(settings, journal);
    ObjectNode constantFields = newAnnouncement("service", id, port);
    new Announcer(
        routers,
        () ->
            constantFields
                .deepCopy()
                .put("running", service.activeRequests())
                .put("leaving", service.isDraining()));
    new CountDownLatch(1).await();
  }

  private ObjectNode newAnnouncement(String kind, String name, int listenPort) {
    return JSON.createObjectNode()
        .put("id", name)
        .put("incarnation", System.currentTimeMillis())
        .put("address", "127.0.0.1:" + listenPort)
        .put("zone", zone)
        .put("kind", kind)
        .put("pool", pool)
        .put("slots", slots)
        .put("checks_fencing", false);
  }
}
