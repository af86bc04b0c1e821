package org.toucansaddle.usage;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.toucansaddle.cli.CliMain;
import org.toucansaddle.daemon.Daemon;
import org.toucansaddle.daemon.settings.SettingsFile;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.standins.announce.Announcer;
import org.toucansaddle.standins.engine.EngineSettings;
import org.toucansaddle.standins.engine.StandinEngine;
import org.toucansaddle.standins.fleet.PortAllocator;
import org.toucansaddle.standins.journal.Journal;
import org.toucansaddle.standins.journal.JournalEntry;
import org.toucansaddle.standins.journal.JournalReader;
import org.toucansaddle.standins.load.Caller;
import org.toucansaddle.standins.service.ServiceSettings;
import org.toucansaddle.standins.service.StandinService;

/** Daemons and stand-ins inside the test's process. Used by one thread. */
final class LocalFleet implements AutoCloseable {

  static final String TOKEN = "operator-token";
  static final String KEY = "key-of-lessor";

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Path folder;
  private final PortAllocator ports = new PortAllocator();
  private final List<String> callers = new ArrayList<>();
  private final List<String> admins = new ArrayList<>();
  private final List<String> peers = new ArrayList<>();
  private final List<String> advertised = new ArrayList<>();
  private final List<CutRelay> relays = new ArrayList<>();
  private String moreSettings = "";
  private final List<Daemon> daemons = new ArrayList<>();
  private final List<AutoCloseable> upstreams = new ArrayList<>();
  private final Map<String, Integer> enginePorts = new HashMap<>();
  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
  private final Caller caller = new Caller(client);

  private LocalFleet(Path folder) {
    this.folder = folder;
  }

  static LocalFleet start(int routers) throws IOException {
    return start(routers, "");
  }

  /** Starts daemons that reach each other through relays, which can cut them off. */
  static LocalFleet startWithRelays(int routers) throws IOException {
    LocalFleet fleet = new LocalFleet(Files.createTempDirectory("local-fleet"));
    fleet.addAddresses(routers);
    for (int i = 0; i < routers; i++) {
      fleet.relays.add(new CutRelay(fleet.peers.get(i)));
      fleet.advertised.set(i, fleet.relays.get(i).address());
    }
    fleet.startDaemons(routers);
    return fleet;
  }

  /** Starts daemons with more settings in TOML. */
  static LocalFleet start(int routers, String moreSettings) throws IOException {
    LocalFleet fleet = new LocalFleet(Files.createTempDirectory("local-fleet"));
    fleet.moreSettings = moreSettings;
    fleet.addAddresses(routers);
    fleet.startDaemons(routers);
    return fleet;
  }

  private void addAddresses(int routers) {
    for (int i = 0; i < routers; i++) {
      callers.add("127.0.0.1:" + ports.allocate());
      admins.add("127.0.0.1:" + ports.allocate());
      peers.add("127.0.0.1:" + ports.allocate());
    }
    advertised.addAll(peers.subList(advertised.size(), peers.size()));
  }

  private void startDaemons(int routers) throws IOException {
    Files.writeString(folder.resolve("token"), TOKEN);
    for (int i = 0; i < routers; i++) {
      daemons.add(startDaemon(i));
    }
    await(() -> daemons.stream().allMatch(Daemon::isReady));
  }

  private Daemon startDaemon(int index) throws IOException {
    return Daemon.start(SettingsFile.parse("router-" + (index + 1), settings(index)));
  }

  private String settings(int index) {
    String name = "router-" + (index + 1);
    return """
        [daemon]
        name = "%s"
        zone = "zone-a"
        fleet = "test"
        [listen]
        callers = "%s"
        admin = "%s"
        peers = "%s"
        advertised_peers = "%s"
        [peers]
        seeds = [%s]
        secret = "secret-for-tests"
        [control]
        replicas = ["router-1", "router-2", "router-3"]
        data_folder = "%s"
        [admin]
        token_digest = "%s"
        [limits]
        stall_millis = 600
        %s
        """
        .formatted(
            name,
            callers.get(index),
            admins.get(index),
            peers.get(index),
            advertised.get(index),
            advertised.stream().map(p -> "\"" + p + "\"").collect(Collectors.joining(", ")),
            folder.resolve("data-" + name),
            digest(TOKEN),
            moreSettings);
  }

  /** Starts one more daemon, with other settings, without waiting for it. */
  Daemon startAnother(String otherSettings) throws IOException {
    moreSettings = otherSettings;
    addAddresses(1);
    daemons.add(startDaemon(peers.size() - 1));
    return daemons.get(daemons.size() - 1);
  }

  void await(BooleanSupplier condition) {
    long deadline = System.nanoTime() + Duration.ofSeconds(20).toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("the condition did not become true within 20 s");
      }
      sleep(20);
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  StandinEngine startEngine(String id, int slots) {
    return startEngine(engineSettings(id, "model-a", slots));
  }

  EngineSettings engineSettings(String id, String pool, int slots) {
    return new EngineSettings(id, ports.allocate(), pool, slots, 5, "zone-a");
  }

  /** Starts an engine that ends, as its process would, when a request crashes it. */
  StandinEngine startEngine(EngineSettings settings) {
    String id = settings.id();
    Journal journal = new Journal(folder.resolve("journals").resolve(id + ".jsonl"));
    AtomicReference<StandinEngine> engine = new AtomicReference<>();
    AtomicReference<Announcer> announcer = new AtomicReference<>();
    engine.set(
        new StandinEngine(
            settings,
            journal,
            () -> {
              announcer.get().close();
              engine.get().close();
            }));
    ObjectNode fixed =
        announcement("model", id, settings.pool(), settings.port(), settings.slots());
    announcer.set(new Announcer(callers, () -> engine.get().fillAnnouncement(fixed.deepCopy())));
    upstreams.add(announcer.get());
    upstreams.add(engine.get());
    enginePorts.put(id, settings.port());
    return engine.get();
  }

  String address(String engine) {
    return "127.0.0.1:" + enginePorts.get(engine);
  }

  void startService(String id, int delayMillis) {
    int port = ports.allocate();
    ServiceSettings settings = new ServiceSettings(id, port, "defects", 4, delayMillis, "zone-a");
    Journal journal = new Journal(folder.resolve("journals").resolve(id + ".jsonl"));
    upstreams.add(new StandinService(settings, journal));
    ObjectNode fixed = announcement("service", id, "defects", port, 4);
    announce(() -> fixed);
  }

  private void announce(Supplier<ObjectNode> content) {
    upstreams.add(new Announcer(callers, content));
  }

  private static ObjectNode announcement(String kind, String id, String pool, int port, int slots) {
    return JSON.createObjectNode()
        .put("id", id)
        .put("incarnation", System.currentTimeMillis())
        .put("address", "127.0.0.1:" + port)
        .put("zone", "zone-a")
        .put("kind", kind)
        .put("pool", pool)
        .put("slots", slots);
  }

  /** Creates a model class, a service class and an account. */
  void configure() {
    String[] model = {"--pool", "model-a", "--first-token", "6s", "--whole-answer", "15s"};
    operate(concat(model, "class", "set", "summary"));
    String[] patient = {"--pool", "model-a", "--first-token", "60s", "--whole-answer", "90s"};
    operate(concat(patient, "class", "set", "briefing"));
    String[] service = {"--pool", "defects", "--first-token", "6s", "--whole-answer", "6s"};
    operate(concat(service, "class", "set", "record", "--kind", "service"));
    operate("account", "put", "lessor", "--key-digest", digest(KEY), "--wait");
  }

  private static String[] concat(String[] last, String... first) {
    List<String> all = new ArrayList<>(List.of(first));
    all.addAll(List.of(last));
    return all.toArray(String[]::new);
  }

  int operate(String... arguments) {
    List<String> all = new ArrayList<>(List.of(arguments));
    all.addAll(List.of("--admin", String.join(",", admins)));
    all.addAll(List.of("--token-file", folder.resolve("token").toString()));
    return CliMain.run(all.toArray(String[]::new));
  }

  String callers(int router) {
    return callers.get(router);
  }

  String admin(int router) {
    return admins.get(router);
  }

  Daemon daemon(int router) {
    return daemons.get(router);
  }

  /** Returns the relay through which the others reach a daemon. */
  CutRelay relay(int router) {
    return relays.get(router);
  }

  HttpClient client() {
    return client;
  }

  Caller caller() {
    return caller;
  }

  /** Sends a model request through a router and returns what became of it. */
  Caller.Result ask(int router, String prompt) {
    return caller.ask(callers(router), KEY, "summary", prompt, "").join();
  }

  /** Sends a service call through a router and returns what became of it. */
  Caller.Result record(int router, String key) {
    return caller.record(callers(router), KEY, "record", "/services/defects/record", key).join();
  }

  List<JournalEntry> journal(String event) {
    return JournalReader.read(folder.resolve("journals")).stream()
        .filter(entry -> entry.event().equals(event))
        .toList();
  }

  /** Returns the journal entries of an event, also when no stand-in has written yet. */
  List<JournalEntry> journalOrNothing(String event) {
    return Files.exists(folder.resolve("journals")) ? journal(event) : List.of();
  }

  static String digest(String text) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(sha.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() throws Exception {
    for (AutoCloseable upstream : upstreams) {
      upstream.close();
    }
    daemons.forEach(Daemon::close);
    relays.forEach(CutRelay::close);
    client.close();
  }
}
