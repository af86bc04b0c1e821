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
 * Daemons and stand-in upstreams as processes on loopback.
 *
 * <pre>{@code
 * try (Fleet fleet = Fleet.start(folder, FleetSpec.of(3))) {
 *   fleet.awaitReady();
 *   fleet.operator("class", "set", ...);
 * }
 * }</pre>
 *
 * <p>Used by one thread, but for reading addresses and processes.
 */
public final class Fleet implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int READY_SECONDS = 40;
  private static final int UPSTREAM_HEAP_MEGABYTES = 256;

  private final Path folder;
  private final FleetSpec spec;
  private final FreePorts ports = new FreePorts();
  private final String token = "operator-token-for-loopback-only";
  private final List<RouterAddresses> routers = new ArrayList<>();
  private final Map<String, FleetProcess> processes = new LinkedHashMap<>();
  private final Map<String, Integer> upstreamPorts = new LinkedHashMap<>();
  private final Map<String, String> keys = new LinkedHashMap<>();
  private final HttpClient client =
      HttpClient.create(HttpClientSettings.defaults().withIoThreads(1));

  private Fleet(Path folder, FleetSpec spec) {
    this.folder = folder;
    this.spec = spec;
  }

  /** Starts all processes; the folder gets their settings, logs, data and journals. */
  public static Fleet start(Path folder, FleetSpec spec) {
    Fleet fleet = new Fleet(folder, spec);
    try {
      Files.createDirectories(folder);
      Files.writeString(fleet.tokenFile(), fleet.token);
      fleet.startRouters();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    spec.upstreams().forEach(fleet::startUpstreams);
    return fleet;
  }

  private void startRouters() throws IOException {
    for (int i = 1; i <= spec.routers(); i++) {
      routers.add(new RouterAddresses("router-" + i, loopback(), loopback(), loopback()));
    }
    for (int i = 0; i < routers.size(); i++) {
      RouterAddresses router = routers.get(i);
      Path settings = folder.resolve(router.name() + ".toml");
      Files.writeString(settings, settings(router, i));
      List<String> command =
          FleetProcess.java(
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

  private String loopback() {
    return "127.0.0.1:" + ports.next();
  }

  private String settings(RouterAddresses router, int index) {
    String seeds =
        routers.stream()
            .limit(3)
            .map(r -> "\"" + r.peers() + "\"")
            .collect(Collectors.joining(", "));
    String replicas =
        routers.stream()
            .limit(spec.replicas())
            .map(r -> "\"" + r.name() + "\"")
            .collect(Collectors.joining(", "));
    StringBuilder text = new StringBuilder();
    text.append("[daemon]\nname = \"").append(router.name()).append("\"\n");
    text.append("zone = \"zone-").append((char) ('a' + index % 3)).append("\"\n");
    text.append("fleet = \"loopback\"\n\n[listen]\ncallers = \"").append(router.callers());
    text.append("\"\nadmin = \"").append(router.admin());
    text.append("\"\npeers = \"").append(router.peers()).append("\"\n\n[peers]\nseeds = [");
    text.append(seeds).append("]\nsecret = \"secret-for-loopback-only\"\n\n");
    text.append("[control]\nreplicas = [").append(replicas).append("]\n");
    if (index < spec.replicas()) {
      text.append("data_folder = \"").append(dataFolder(router.name())).append("\"\n");
    }
    text.append("\n[admin]\ntoken_digest = \"").append(digest(token)).append("\"\n");
    text.append("\n[log]\nlevel = \"").append(spec.logLevel()).append("\"\n");
    text.append("\n[limits]\nmax_queued_per_account = ").append(spec.maxQueued());
    text.append("\n\n[sharing]\nmode = \"").append(spec.sharingMode()).append("\"\n");
    return text.toString();
  }

  /** Returns the data folder of a control replica. */
  public Path dataFolder(String router) {
    return folder.resolve("data-" + router).toAbsolutePath();
  }

  private void startUpstreams(FleetSpec.UpstreamGroup group) {
    int port = ports.nextRun(group.count());
    upstreamPorts.put(group.id(), port);
    List<String> arguments = new ArrayList<>();
    arguments.addAll(List.of("--routers", callerAddresses(), "--id", group.id()));
    arguments.addAll(List.of("--port", "" + port, "--pool", group.pool()));
    arguments.addAll(List.of("--slots", "" + group.slots()));
    arguments.addAll(List.of("--journal", journalFolder().toString(), group.kind()));
    if (group.kind().equals("engine")) {
      arguments.addAll(List.of("--count", "" + group.count()));
      arguments.addAll(List.of("--step-millis", "" + group.millis()));
    } else {
      arguments.addAll(List.of("--delay-millis", "" + group.millis()));
    }
    List<String> command =
        FleetProcess.java(
            UPSTREAM_HEAP_MEGABYTES, spec.compilerLevel(), UpstreamMain.class, arguments);
    FleetProcess process =
        new FleetProcess(group.id(), command, folder.resolve(group.id() + ".log"));
    processes.put(group.id(), process);
    process.start();
  }

  private String callerAddresses() {
    return routers.stream().map(RouterAddresses::callers).collect(Collectors.joining(","));
  }

  /** Returns the folder of the stand-ins' journals. */
  public Path journalFolder() {
    return folder.resolve("journals");
  }

  /** Returns the daemons' addresses. */
  public List<RouterAddresses> routers() {
    return List.copyOf(routers);
  }

  /** Returns a process by name. */
  public FleetProcess process(String name) {
    return processes.get(name);
  }

  /** Returns the port of the first upstream of a group. */
  public int upstreamPort(String group) {
    return upstreamPorts.get(group);
  }

  /** Returns the keys of the accounts made so far, by account. */
  public Map<String, String> keys() {
    return Map.copyOf(keys);
  }

  /** Returns the operators' token. */
  public String operatorToken() {
    return token;
  }

  private Path tokenFile() {
    return folder.resolve("operator-token");
  }

  /** Waits until every live daemon is ready; one that is not writes its threads to its log. */
  public void awaitReady() {
    long deadline = System.nanoTime() + Duration.ofSeconds(READY_SECONDS).toNanos();
    for (RouterAddresses router : routers) {
      while (process(router.name()).isAlive() && !isReady(router)) {
        if (System.nanoTime() > deadline) {
          process(router.name()).signal("QUIT");
          throw new IllegalStateException(
              router.name() + " is not ready; see " + process(router.name()).log());
        }
        sleep(50);
      }
    }
  }

  /** Returns whether a daemon wants callers. */
  public boolean isReady(RouterAddresses router) {
    try {
      HttpRequest call = HttpRequest.get(router.callers(), "/readyz");
      return client.send(call, Duration.ofSeconds(1)).join().status() == 200;
    } catch (CompletionException e) {
      return false;
    }
  }

  /** Prints the metrics of every daemon whose names start with a prefix. */
  public void printMetrics(String prefix) {
    for (RouterAddresses router : routers) {
      HttpRequest call = HttpRequest.get(router.callers(), "/metrics");
      String text = client.send(call, Duration.ofSeconds(2)).join().text();
      text.lines()
          .filter(line -> line.startsWith(prefix))
          .forEach(line -> System.out.println(router.name() + " " + line));
    }
  }

  /** Runs a command of the operators' tool; returns its exit code. */
  public int operator(String... arguments) {
    String admins = routers.stream().map(RouterAddresses::admin).collect(Collectors.joining(","));
    List<String> all = new ArrayList<>(List.of(arguments));
    all.addAll(List.of("--admin", admins, "--token-file", tokenFile().toString()));
    return CliMain.run(all.toArray(String[]::new));
  }

  /** Creates an account with a key derived from its name. */
  public void createAccount(String name) {
    String key = "key-of-" + name;
    int code = operator("account", "put", name, "--key-digest", digest(key), "--output", "json");
    if (code != 0) {
      throw new IllegalStateException("account " + name + " was not created, exit code " + code);
    }
    keys.put(name, key);
  }

  /** Creates a class that a model serves. */
  public void createModelClass(String name, String pool, String firstToken, String whole) {
    check(
        operator(
            "class",
            "set",
            name,
            "--pool",
            pool,
            "--first-token",
            firstToken,
            "--whole-answer",
            whole,
            "--wait",
            "--output",
            "json"),
        name);
  }

  /** Creates a class of calls that a plain service serves and that run once. */
  public void createServiceClass(String name, String pool, String whole) {
    check(
        operator(
            "class",
            "set",
            name,
            "--kind",
            "service",
            "--pool",
            pool,
            "--first-token",
            whole,
            "--whole-answer",
            whole,
            "--wait",
            "--output",
            "json"),
        name);
  }

  private static void check(int code, String name) {
    if (code != 0) {
      throw new IllegalStateException("class " + name + " was not created, exit code " + code);
    }
  }

  /** Writes what a tool needs to use the fleet. */
  public void describe(Path file) {
    ObjectNode node = JSON.createObjectNode();
    ArrayNode list = node.putArray("processes");
    for (RouterAddresses router : routers) {
      FleetProcess process = process(router.name());
      list.addObject()
          .put("name", router.name())
          .put("role", "daemon")
          .put("pid", process.pid())
          .put("callers", router.callers())
          .put("admin", router.admin())
          .put("peers", router.peers())
          .put("log", process.log().toString());
    }
    for (String id : upstreamPorts.keySet()) {
      list.addObject()
          .put("name", id)
          .put("role", "upstream")
          .put("pid", process(id).pid())
          .put("callers", "127.0.0.1:" + upstreamPorts.get(id))
          .put("log", process(id).log().toString());
    }
    node.put("operator_token", token);
    ObjectNode accounts = node.putObject("account_keys");
    keys.forEach(accounts::put);
    try {
      Files.writeString(file, node.toPrettyString());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String digest(String text) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(sha.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("This Java runtime lacks SHA-256.", e);
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends every process that was started. */
  @Override
  public void close() {
    client.close();
    processes.values().stream().filter(FleetProcess::isAlive).forEach(FleetProcess::kill);
  }
}
