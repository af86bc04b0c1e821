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

/**
 * Fleet of daemons and stand-in upstreams inside the process of a test, with addresses on loopback.
 *
 * <p>Used by one thread.
 */
final class LocalFleet implements AutoCloseable {

  static final String OPERATOR_TOKEN = "operator-token";
  static final String API_KEY = "key-of-lessor";

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Path folder;
  private final PortAllocator ports = new PortAllocator();
  private final List<String> callerAddresses = new ArrayList<>();
  private final List<String> adminAddresses = new ArrayList<>();
  private final List<String> peerAddresses = new ArrayList<>();
  private final List<String> advertisedPeerAddresses = new ArrayList<>();
  private final List<PartitionRelay> relays = new ArrayList<>();
  private String extraSettings = "";
  private final List<Daemon> daemons = new ArrayList<>();
  private final List<AutoCloseable> upstreams = new ArrayList<>();
  private final Map<String, Integer> enginePorts = new HashMap<>();
  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
  private final Caller caller = new Caller(client);

  private LocalFleet(Path folder) {
    this.folder = folder;
  }

  static LocalFleet start(int routerCount) throws IOException {
    return start(routerCount, "");
  }

  /** Starts daemons that reach each other through relays, which can partition them. */
  static LocalFleet startWithRelays(int routerCount) throws IOException {
    LocalFleet fleet = new LocalFleet(Files.createTempDirectory("local-fleet"));
    fleet.addAddresses(routerCount);
    for (int i = 0; i < routerCount; i++) {
      fleet.relays.add(new PartitionRelay(fleet.peerAddresses.get(i)));
      fleet.advertisedPeerAddresses.set(i, fleet.relays.get(i).address());
    }
    fleet.startDaemons(routerCount);
    return fleet;
  }

  /** Starts daemons with additional settings in TOML. */
  static LocalFleet start(int routerCount, String extraSettings) throws IOException {
    LocalFleet fleet = new LocalFleet(Files.createTempDirectory("local-fleet"));
    fleet.extraSettings = extraSettings;
    fleet.addAddresses(routerCount);
    fleet.startDaemons(routerCount);
    return fleet;
  }

  private void addAddresses(int routerCount) {
    for (int i = 0; i < routerCount; i++) {
      callerAddresses.add("127.0.0.1:" + ports.allocate());
      adminAddresses.add("127.0.0.1:" + ports.allocate());
      peerAddresses.add("127.0.0.1:" + ports.allocate());
    }
    advertisedPeerAddresses.addAll(
        peerAddresses.subList(advertisedPeerAddresses.size(), peerAddresses.size()));
  }

  private void startDaemons(int routerCount) throws IOException {
    Files.writeString(folder.resolve("token"), OPERATOR_TOKEN);
    for (int i = 0; i < routerCount; i++) {
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
            callerAddresses.get(index),
            adminAddresses.get(index),
            peerAddresses.get(index),
            advertisedPeerAddresses.get(index),
            advertisedPeerAddresses.stream()
                .map(p -> "\"" + p + "\"")
                .collect(Collectors.joining(", ")),
            folder.resolve("data-" + name),
            digest(OPERATOR_TOKEN),
            extraSettings);
  }

  /** Starts one more daemon with its own additional settings, without waiting until it is ready. */
  Daemon startAdditionalDaemon(String daemonSettings) throws IOException {
    extraSettings = daemonSettings;
    addAddresses(1);
    daemons.add(startDaemon(peerAddresses.size() - 1));
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

  /** Starts an engine that stops, as its process would, when a request crashes it. */
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
    ObjectNode announcement =
        announcement("model", id, settings.pool(), settings.port(), settings.slots());
    announcer.set(
        new Announcer(
            callerAddresses, () -> engine.get().fillAnnouncement(announcement.deepCopy())));
    upstreams.add(announcer.get());
    upstreams.add(engine.get());
    enginePorts.put(id, settings.port());
    return engine.get();
  }

  String engineAddress(String engine) {
    return "127.0.0.1:" + enginePorts.get(engine);
  }

  void startService(String id, int delayMillis) {
    int port = ports.allocate();
    ServiceSettings settings = new ServiceSettings(id, port, "defects", 4, delayMillis, "zone-a");
    Journal journal = new Journal(folder.resolve("journals").resolve(id + ".jsonl"));
    upstreams.add(new StandinService(settings, journal));
    ObjectNode announcement = announcement("service", id, "defects", port, 4);
    startAnnouncer(() -> announcement);
  }

  private void startAnnouncer(Supplier<ObjectNode> content) {
    upstreams.add(new Announcer(callerAddresses, content));
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

  /** Creates two model classes, a service class and a client account. */
  void configure() {
    String[] summary = {"--pool", "model-a", "--first-token", "6s", "--whole-answer", "15s"};
    runCli(concat(summary, "class", "set", "summary"));
    String[] briefing = {"--pool", "model-a", "--first-token", "60s", "--whole-answer", "90s"};
    runCli(concat(briefing, "class", "set", "briefing"));
    String[] record = {"--pool", "defects", "--first-token", "6s", "--whole-answer", "6s"};
    runCli(concat(record, "class", "set", "record", "--kind", "service"));
    runCli("account", "put", "lessor", "--key-digest", digest(API_KEY), "--wait");
  }

  private static String[] concat(String[] last, String... first) {
    List<String> all = new ArrayList<>(List.of(first));
    all.addAll(List.of(last));
    return all.toArray(String[]::new);
  }

  int runCli(String... arguments) {
    List<String> all = new ArrayList<>(List.of(arguments));
    all.addAll(List.of("--admin", String.join(",", adminAddresses)));
    all.addAll(List.of("--token-file", folder.resolve("token").toString()));
    return CliMain.run(all.toArray(String[]::new));
  }

  String callerAddress(int router) {
    return callerAddresses.get(router);
  }

  String adminAddress(int router) {
    return adminAddresses.get(router);
  }

  Daemon daemon(int router) {
    return daemons.get(router);
  }

  /** Returns the relay through which the other daemons reach a daemon. */
  PartitionRelay relay(int router) {
    return relays.get(router);
  }

  HttpClient client() {
    return client;
  }

  Caller caller() {
    return caller;
  }

  /** Sends a model request through a router and returns its result. */
  Caller.Result sendModelRequest(int router, String prompt) {
    return caller.sendModelRequest(callerAddress(router), API_KEY, "summary", prompt, "").join();
  }

  /** Sends a service call through a router and returns its result. */
  Caller.Result sendServiceCall(int router, String key) {
    return caller
        .sendServiceCall(callerAddress(router), API_KEY, "record", "/services/defects/record", key)
        .join();
  }

  List<JournalEntry> journalEntries(String event) {
    return JournalReader.read(folder.resolve("journals")).stream()
        .filter(entry -> entry.event().equals(event))
        .toList();
  }

  /** Returns the journal entries of an event; empty if no stand-in has written a journal yet. */
  List<JournalEntry> journalEntriesIfPresent(String event) {
    return Files.exists(folder.resolve("journals")) ? journalEntries(event) : List.of();
  }

  static String digest(String text) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(sha256.digest(text.getBytes(StandardCharsets.UTF_8)));
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
    relays.forEach(PartitionRelay::close);
    client.close();
  }
}
