package org.toucansaddle.standins.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.stream.Collectors;
import org.toucansaddle.cli.CliMain;
import org.toucansaddle.daemon.DaemonMain;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.standins.UpstreamMain;

/**
 * Routers and stand-in upstreams that run as processes on loopback.
 *
 * <pre>{@code
 * try (Fleet fleet = Fleet.start(folder, FleetSpec.of(3))) {
 *   fleet.awaitReady();
 *   fleet.operator("class", "set", ...);
 * }
 * }</pre>
 *
 * <p>The addresses and the processes may be read from any thread; all other methods are confined to
 * one thread. I/O errors are thrown as {@link UncheckedIOException}.
 */
public final class Fleet implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int READY_TIMEOUT_SECONDS = 40;
  private static final int UPSTREAM_HEAP_MEGABYTES = 256;

  private final Path folder;
  private final FleetSpec spec;
  private final PortAllocator ports = new PortAllocator();
  private final String operatorToken = "operator-token-for-loopback-only";
  private final List<RouterAddresses> routers = new ArrayList<>();
  private final Map<String, FleetProcess> processes = new LinkedHashMap<>();
  private final Map<String, Integer> upstreamPorts = new LinkedHashMap<>();
  private final Map<String, String> accountKeys = new LinkedHashMap<>();
  private final HttpClient client =
      HttpClient.create(HttpClientSettings.defaults().withIoThreads(1));

  private Fleet(Path folder, FleetSpec spec) {
    this.folder = folder;
    this.spec = spec;
  }

  /**
   * Starts all processes and returns without waiting until they are ready.
   *
   * @param folder folder for settings, logs, data and journals; created if missing
   */
  public static Fleet start(Path folder, FleetSpec spec) {
    Fleet fleet = new Fleet(folder, spec);
    try {
      Files.createDirectories(folder);
      Files.writeString(fleet.tokenFile(), fleet.operatorToken);
      fleet.startRouters();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    spec.upstreams().forEach(fleet::startUpstreams);
    return fleet;
  }

  private void startRouters() throws IOException {
    for (int i = 1; i <= spec.routers(); i++) {
      routers.add(
          new RouterAddresses(
              "router-" + i, allocateAddress(), allocateAddress(), allocateAddress()));
    }
    for (int i = 0; i < routers.size(); i++) {
      RouterAddresses router = routers.get(i);
      Path settings = folder.resolve(router.name() + ".toml");
      Files.writeString(settings, settingsText(router, i));
      List<String> command =
          FleetProcess.javaCommand(
              spec.heapMegabytes(),
              spec.compilerLevel(),
              DaemonMain.class,
              List.of("--settings", settings.toString()));
      FleetProcess process =
          new FleetProcess(router.name(), command, folder.resolve(router.name() + ".log"));
      processes.put(router.name(), process);
      process.start();
    }
  }

  private String allocateAddress() {
    return "127.0.0.1:" + ports.allocate();
  }

  private String settingsText(RouterAddresses router, int index) {
    String seeds =
        routers.stream()
            .limit(3)
            .map(other -> "\"" + other.peerAddress() + "\"")
            .collect(Collectors.joining(", "));
    String replicas =
        routers.stream()
            .limit(spec.replicas())
            .map(other -> "\"" + other.name() + "\"")
            .collect(Collectors.joining(", "));
    StringBuilder text = new StringBuilder();
    text.append("[daemon]\nname = \"").append(router.name()).append("\"\n");
    text.append("zone = \"zone-").append((char) ('a' + index % 3)).append("\"\n");
    text.append("fleet = \"loopback\"\n\n[listen]\ncallers = \"").append(router.callerAddress());
    text.append("\"\nadmin = \"").append(router.adminAddress());
    text.append("\"\npeers = \"").append(router.peerAddress()).append("\"\n\n[peers]\nseeds = [");
    text.append(seeds).append("]\nsecret = \"secret-for-loopback-only\"\n\n");
    text.append("[control]\nreplicas = [").append(replicas).append("]\n");
    if (index < spec.replicas()) {
      text.append("data_folder = \"").append(dataFolder(router.name())).append("\"\n");
    }
    text.append("\n[admin]\ntoken_digest = \"").append(sha256Hex(operatorToken)).append("\"\n");
    text.append("\n[log]\nlevel = \"").append(spec.logLevel()).append("\"\n");
    text.append("\n[limits]\nmax_queued_per_account = ").append(spec.maxQueuedPerAccount());
    text.append("\n\n[sharing]\nmode = \"").append(spec.sharingMode()).append("\"\n");
    return text.toString();
  }

  /** Returns the data folder of the control replica on a router. */
  public Path dataFolder(String router) {
    return folder.resolve("data-" + router).toAbsolutePath();
  }

  private void startUpstreams(FleetSpec.UpstreamGroup group) {
    int port = ports.allocateRange(group.count());
    upstreamPorts.put(group.id(), port);
    List<String> arguments = new ArrayList<>();
    arguments.addAll(List.of("--routers", callerAddresses(), "--id", group.id()));
    arguments.addAll(List.of("--port", "" + port, "--pool", group.pool()));
    arguments.addAll(List.of("--slots", "" + group.slots()));
    arguments.addAll(List.of("--journal", journalFolder().toString(), group.kind()));
    if (group.kind().equals("engine")) {
      arguments.addAll(List.of("--count", "" + group.count()));
      arguments.addAll(List.of("--step-millis", "" + group.serviceTimeMillis()));
    } else {
      arguments.addAll(List.of("--delay-millis", "" + group.serviceTimeMillis()));
    }
    List<String> command =
        FleetProcess.javaCommand(
            UPSTREAM_HEAP_MEGABYTES, spec.compilerLevel(), UpstreamMain.class, arguments);
    FleetProcess process =
        new FleetProcess(group.id(), command, folder.resolve(group.id() + ".log"));
    processes.put(group.id(), process);
    process.start();
  }

  private String callerAddresses() {
    return routers.stream().map(RouterAddresses::callerAddress).collect(Collectors.joining(","));
  }

  /** Returns the folder of the journals that the stand-in upstreams write. */
  public Path journalFolder() {
    return folder.resolve("journals");
  }

  /** Returns the addresses of all routers, in the order of their numbers. */
  public List<RouterAddresses> routers() {
    return List.copyOf(routers);
  }

  /** Returns the process of a router or upstream group, or null if there is none of that name. */
  public FleetProcess process(String name) {
    return processes.get(name);
  }

  /** Returns the port of the first upstream of a group; the others use the ports after it. */
  public int upstreamPort(String group) {
    return upstreamPorts.get(group);
  }

  /** Returns the API keys of the accounts created so far, by account name. */
  public Map<String, String> accountKeys() {
    return Map.copyOf(accountKeys);
  }

  /** Returns the token that authenticates operators at the admin addresses. */
  public String operatorToken() {
    return operatorToken;
  }

  private Path tokenFile() {
    return folder.resolve("operator-token");
  }

  /**
   * Waits until every running router is ready. A router that misses the deadline gets a QUIT
   * signal, which makes it write a thread dump to its log.
   *
   * @throws IllegalStateException if a router is not ready within 40 s
   */
  public void awaitReady() {
    long deadline = System.nanoTime() + Duration.ofSeconds(READY_TIMEOUT_SECONDS).toNanos();
    for (RouterAddresses router : routers) {
      while (process(router.name()).isAlive() && !isReady(router)) {
        if (System.nanoTime() > deadline) {
          process(router.name()).signal("QUIT");
          throw new IllegalStateException(
              router.name()
                  + " did not become ready in time; see its log "
                  + process(router.name()).logFile());
        }
        sleep(50);
      }
    }
  }

  /** Returns whether a router reports that it is ready to serve callers. */
  public boolean isReady(RouterAddresses router) {
    try {
      HttpRequest call = HttpRequest.get(router.callerAddress(), "/readyz");
      return client.send(call, Duration.ofSeconds(1)).join().status() == 200;
    } catch (CompletionException e) {
      return false;
    }
  }

  /** Prints the metrics of all routers whose names start with a prefix. */
  public void printMetrics(String prefix) {
    for (RouterAddresses router : routers) {
      HttpRequest call = HttpRequest.get(router.callerAddress(), "/metrics");
      String metrics = client.send(call, Duration.ofSeconds(2)).join().text();
      metrics
          .lines()
          .filter(line -> line.startsWith(prefix))
          .forEach(line -> System.out.println(router.name() + " " + line));
    }
  }

  /** Runs a command of the operators' tool in this process and returns its exit code. */
  public int runOperatorCommand(String... arguments) {
    String adminAddresses =
        routers.stream().map(RouterAddresses::adminAddress).collect(Collectors.joining(","));
    List<String> command = new ArrayList<>(List.of(arguments));
    command.addAll(List.of("--admin", adminAddresses, "--token-file", tokenFile().toString()));
    return CliMain.run(command.toArray(String[]::new));
  }

  /**
   * Creates an account with the API key {@code key-of-NAME}.
   *
   * @throws IllegalStateException if the operators' tool fails
   */
  public void createAccount(String name) {
    String key = "key-of-" + name;
    int exitCode =
        runOperatorCommand(
            "account", "put", name, "--key-digest", sha256Hex(key), "--output", "json");
    if (exitCode != 0) {
      throw new IllegalStateException(
          "account "
              + name
              + " was not created: the operators' tool ended with exit code "
              + exitCode);
    }
    accountKeys.put(name, key);
  }

  /**
   * Creates a work class that a model serves.
   *
   * @param firstTokenTarget target time to the first token, with unit, such as {@code 500ms}
   * @param wholeAnswerTarget target time to the whole answer, with unit, such as {@code 8s}
   * @throws IllegalStateException if the operators' tool fails
   */
  public void createModelClass(
      String name, String pool, String firstTokenTarget, String wholeAnswerTarget) {
    requireClassCreated(
        runOperatorCommand(
            "class",
            "set",
            name,
            "--pool",
            pool,
            "--first-token",
            firstTokenTarget,
            "--whole-answer",
            wholeAnswerTarget,
            "--wait",
            "--output",
            "json"),
        name);
  }

  /**
   * Creates a work class that a plain service serves. Its calls are not idempotent.
   *
   * @param wholeAnswerTarget target time to the response, with unit, such as {@code 5s}
   * @throws IllegalStateException if the operators' tool fails
   */
  public void createServiceClass(String name, String pool, String wholeAnswerTarget) {
    requireClassCreated(
        runOperatorCommand(
            "class",
            "set",
            name,
            "--kind",
            "service",
            "--pool",
            pool,
            "--first-token",
            wholeAnswerTarget,
            "--whole-answer",
            wholeAnswerTarget,
            "--wait",
            "--output",
            "json"),
        name);
  }

  private static void requireClassCreated(int exitCode, String name) {
    if (exitCode != 0) {
      throw new IllegalStateException(
          "class "
              + name
              + " was not created: the operators' tool ended with exit code "
              + exitCode);
    }
  }

  /** Writes the processes, addresses and credentials of the fleet to a JSON file. */
  public void writeDescription(Path file) {
    ObjectNode description = JSON.createObjectNode();
    ArrayNode processNodes = description.putArray("processes");
    for (RouterAddresses router : routers) {
      FleetProcess process = process(router.name());
      processNodes
          .addObject()
          .put("name", router.name())
          .put("role", "daemon")
          .put("pid", process.pid())
          .put("callers", router.callerAddress())
          .put("admin", router.adminAddress())
          .put("peers", router.peerAddress())
          .put("log", process.logFile().toString());
    }
    for (String id : upstreamPorts.keySet()) {
      processNodes
          .addObject()
          .put("name", id)
          .put("role", "upstream")
          .put("pid", process(id).pid())
          .put("callers", "127.0.0.1:" + upstreamPorts.get(id))
          .put("log", process(id).logFile().toString());
    }
    description.put("operator_token", operatorToken);
    ObjectNode keyNodes = description.putObject("account_keys");
    accountKeys.forEach(keyNodes::put);
    try {
      Files.writeString(file, description.toPrettyString());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String sha256Hex(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("the Java runtime does not provide SHA-256", e);
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Kills all running processes. */
  @Override
  public void close() {
    client.close();
    processes.values().stream().filter(FleetProcess::isAlive).forEach(FleetProcess::kill);
  }
}
