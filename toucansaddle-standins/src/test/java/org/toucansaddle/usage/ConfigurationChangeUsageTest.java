package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.ControlGateway.PutOutcome;
import org.toucansaddle.daemon.gateway.TomlDocuments;
import org.toucansaddle.usage.RawCaller.RawResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/**
 * Usage tests of requests that are under way while the configuration changes.
 *
 * <p>A path {@code /ROUTE/KIND/MILLIS} names the kind of the answer and the pauses within it.
 */
public class ConfigurationChangeUsageTest {

  private static final Duration PUT_TIMEOUT = Duration.ofSeconds(2);
  private static final Pattern VERSION_IN_FORCE =
      Pattern.compile("(?m)^toucansaddle_gateway_configuration (\\S+)$");

  private static final int EVENTS = 3;
  private static final String BODY = "0123456789";

  private static final int CALLERS = 32;
  private static final long CHANGING_NANOS = TimeUnit.SECONDS.toNanos(6);
  private static final int MAX_CHANGE_INTERVAL_MILLIS = 250;

  private final Set<String> executedIds = ConcurrentHashMap.newKeySet();
  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final AtomicInteger requests = new AtomicInteger();
  private LocalGateway gateway;
  private ScriptedUpstreams desk;
  private ScriptedUpstreams bureau;
  private long version;

  @BeforeClass
  public void startGateway() throws Exception {
    gateway = new LocalGateway(TomlDocuments.format());
    LocalGateway.await(() -> put(VariedDocument.initial()));
    LocalGateway.await(() -> gateway.router(0).isReady() && gateway.router(1).isReady());
    desk = new ScriptedUpstreams(gateway, "desk", 2, this::answer);
    bureau = new ScriptedUpstreams(gateway, "bureau", 2, this::answer);
    putAndAwait(VariedDocument.initial().withServices(0, 1));
    LocalGateway.await(() -> isServing(0) && isServing(1));
    putAndAwait(VariedDocument.initial());
    LocalGateway.await(() -> isServing(0) && isServing(1));
  }

  @AfterClass(alwaysRun = true)
  public void stopGateway() throws Exception {
    callers.shutdownNow();
    desk.close();
    bureau.close();
    gateway.close();
  }

  /** Puts a document as the next version; returns whether it was acknowledged. */
  private boolean put(VariedDocument document) {
    version++;
    byte[] content = document.toToml(version).getBytes(StandardCharsets.UTF_8);
    try {
      int control = (int) (version % LocalGateway.CONTROL_COUNT);
      return gateway.control(control).put(content, PUT_TIMEOUT).get() == PutOutcome.ACCEPTED;
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private void putAndAwait(VariedDocument document) throws InterruptedException {
    LocalGateway.await(() -> put(document));
    LocalGateway.await(() -> versionInForce(0) == version && versionInForce(1) == version);
  }

  private long versionInForce(int router) {
    Matcher matcher = VERSION_IN_FORCE.matcher(gateway.router(router).metrics());
    assertThat(matcher.find()).as("metrics with the version in force").isTrue();
    return (long) Double.parseDouble(matcher.group(1));
  }

  private boolean isServing(int router) {
    try (KeptConnection connection = connect(router)) {
      connection.send(KeptConnection.get("/once/whole/0", nextId()));
      return connection.receive().status() == 200;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private KeptConnection connect(int router) throws IOException {
    return new KeptConnection(gateway.callerAddress(router));
  }

  private String nextId() {
    return "r" + requests.incrementAndGet();
  }

  private void answer(Exchange exchange) throws IOException {
    String id = exchange.header("X-Request-Id");
    String[] path = exchange.path().split("/");
    int pauseMillis = Integer.parseInt(path[3]);
    executedIds.add(id);
    if (path[2].equals("whole")) {
      sleep(pauseMillis);
      exchange.writeAnswer(200, expectedBody("whole", id, exchange.body()));
      return;
    }
    exchange.writeHead(200, "Transfer-Encoding: chunked", "Content-Type: text/event-stream");
    String lastEventId = exchange.header("Last-Event-Id");
    int sentBefore = lastEventId.isEmpty() ? 0 : Integer.parseInt(lastEventId);
    for (int event = sentBefore + 1; event <= EVENTS; event++) {
      sleep(pauseMillis);
      exchange.writeChunk(event(event, id));
    }
    exchange.writeChunk("");
  }

  private static String event(int number, String id) {
    return "id: " + number + "\ndata: " + id + "\n\n";
  }

  private static String expectedBody(String kind, String id, String requestBody) {
    if (kind.equals("whole")) {
      return "answer to " + id + " with " + requestBody;
    }
    StringBuilder events = new StringBuilder();
    for (int event = 1; event <= EVENTS; event++) {
      events.append(event(event, id));
    }
    return events.toString();
  }

  private static void sleep(int millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String kindOf(String path) {
    return path.split("/")[2];
  }

  @DataProvider
  public Object[][] changes() {
    VariedDocument initial = VariedDocument.initial();
    return new Object[][] {
      {"routes removed", initial.withoutRoutes()},
      {"routes moved, service removed", initial.withServices(0, 1)},
      {"routes split", initial.withServices(1, 1)},
      {"key revoked", initial.withKey("other-key")},
      {"timeouts shortened", initial.withTimeouts(300, initial.idleTimeoutMillis())},
      {
        "idle timeout shortened",
        initial.withTimeouts(
            VariedDocument.LONG_TIMEOUT_MILLIS, VariedDocument.SHORT_IDLE_TIMEOUT_MILLIS)
      },
      {"limits shrunk", initial.withTinyLimits()},
      {"routes added", initial.withManyRoutes()},
    };
  }

  /** Guards against a change of the configuration that ends requests under way. */
  @Test(dataProvider = "changes")
  public void shouldCompleteRequestsThatAreUnderWay(String change, VariedDocument changed)
      throws Exception {
    putAndAwait(VariedDocument.initial());
    List<String> paths =
        List.of(
            "/once/whole/1200",
            "/repeatable/whole/1200",
            "/stream-once/events/600",
            "/stream/events/600");
    List<Future<RawResponse>> responses = new ArrayList<>();
    List<String> ids = new ArrayList<>();
    for (int router = 0; router < 2; router++) {
      for (String path : paths) {
        String id = nextId();
        ids.add(id);
        String address = gateway.callerAddress(router);
        responses.add(callers.submit(() -> getOnUsedConnection(address, path, id)));
      }
    }
    LocalGateway.await(() -> executedIds.containsAll(ids));
    putAndAwait(changed);
    for (int index = 0; index < ids.size(); index++) {
      String path = paths.get(index % paths.size());
      RawResponse response = responses.get(index).get();
      assertThat(response.status()).as("%s: status of %s", change, path).isEqualTo(200);
      assertThat(response.complete()).as("%s: %s complete", change, path).isTrue();
      assertThat(response.body()).isEqualTo(expectedBody(kindOf(path), ids.get(index), ""));
    }
  }

  private RawResponse getOnUsedConnection(String address, String path, String id)
      throws IOException {
    try (KeptConnection connection = new KeptConnection(address)) {
      connection.send(KeptConnection.get("/once/whole/0", nextId()));
      assertThat(connection.receive().status()).isEqualTo(200);
      connection.send(KeptConnection.get(path, id));
      return connection.receive();
    }
  }

  /** Guards against a change of the configuration that cuts off a body that still arrives. */
  @Test(dataProvider = "changes")
  public void shouldAnswerRequestWhoseBodyStillArrives(String change, VariedDocument changed)
      throws Exception {
    putAndAwait(VariedDocument.initial());
    String id = nextId();
    try (KeptConnection connection = connect(0)) {
      connection.send(KeptConnection.expectingPostHead("/once/whole/0", id, BODY.length()));
      // The router has read the head, with the configuration of before, once it asks for the body.
      assertThat(connection.receiveUntil("\r\n\r\n")).startsWith("HTTP/1.1 100 ");
      connection.send(BODY.substring(0, 4));
      putAndAwait(changed);
      Thread.sleep(300);
      connection.send(BODY.substring(4));
      RawResponse response = connection.receive();
      assertThat(response.status()).as("%s: %s", change, response).isEqualTo(200);
      assertThat(response.body()).isEqualTo(expectedBody("whole", id, BODY));
    }
  }

  /** Guards against a pipelined request that gets no response after the configuration changed. */
  @Test(dataProvider = "changes")
  public void shouldAnswerPipelinedRequest(String change, VariedDocument changed) throws Exception {
    putAndAwait(VariedDocument.initial());
    String first = nextId();
    String second = nextId();
    try (KeptConnection connection = connect(1)) {
      connection.send(
          KeptConnection.get("/stream/events/300", first)
              + KeptConnection.get("/once/whole/0", second));
      LocalGateway.await(() -> executedIds.contains(first));
      putAndAwait(changed);
      RawResponse response = connection.receive();
      assertThat(response.complete()).as("%s: %s", change, response).isTrue();
      assertThat(response.body()).isEqualTo(expectedBody("events", first, ""));
      assertThat(response.headers()).doesNotContainKey("Connection");
      RawResponse next = connection.receive();
      assertThat(next.complete()).as("%s: %s", change, next).isTrue();
      assertThat(next.status()).isIn(200, 401, 404, 431);
    }
  }

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}};
  }

  /** Guards against requests that get neither an answer nor a refusal beside changes. */
  @Test(dataProvider = "seeds")
  public void shouldAnswerOrRefuseEveryRequestWhileVersionsFollowEachOther(long seed)
      throws Exception {
    putAndAwait(VariedDocument.initial());
    Random random = new Random(seed);
    RandomCalls calls = new RandomCalls();
    List<Future<?>> running = new ArrayList<>();
    for (int caller = 0; caller < CALLERS; caller++) {
      int router = caller % 2;
      Random own = new Random(random.nextLong());
      running.add(callers.submit(() -> calls.run(router, own)));
    }
    long endNanos = System.nanoTime() + CHANGING_NANOS;
    long versionBefore = version;
    while (System.nanoTime() - endNanos < 0) {
      put(VariedDocument.random(random));
      Thread.sleep(random.nextInt(MAX_CHANGE_INTERVAL_MILLIS));
    }
    calls.stopped.set(true);
    for (Future<?> caller : running) {
      caller.get();
    }
    assertThat(calls.violations)
        .as(
            "seed %d, %d versions, %d answered, %d refused, %d crossed the close of a connection",
            seed,
            version - versionBefore,
            calls.answered.get(),
            calls.refused.get(),
            calls.crossed.get())
        .isEmpty();
    assertThat(calls.answered.get()).as("answered, seed %d", seed).isGreaterThan(100);
  }

  /** Random requests of several callers, and what was wrong with their responses. Thread-safe. */
  private final class RandomCalls {
    private static final int MIN_PAUSE_MILLIS = 500;
    private static final int MAX_PAUSE_MILLIS = 1_200;
    private static final int MAX_IDLE_MILLIS = 700;

    /** Time that a response or request takes at most between a router and a caller. */
    private static final int MAX_DELAY_MILLIS = 200;

    private static final Set<Integer> REFUSALS = Set.of(401, 404, 413, 429, 431, 503);

    private final List<String> violations = new CopyOnWriteArrayList<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger crossed = new AtomicInteger();
    private final AtomicBoolean stopped = new AtomicBoolean();

    void run(int router, Random random) {
      while (!stopped.get()) {
        try (KeptConnection connection = connect(router)) {
          runOnConnection(connection, random);
        } catch (IOException e) {
          violations.add("a connection failed: " + e);
        }
      }
    }

    /** Sends requests until the connection is closed. */
    private void runOnConnection(KeptConnection connection, Random random) throws IOException {
      boolean kept = call(connection, random, System.nanoTime());
      while (kept && !stopped.get()) {
        long idleSinceNanos = System.nanoTime();
        sleep(random.nextBoolean() ? 0 : random.nextInt(MAX_IDLE_MILLIS));
        kept = call(connection, random, idleSinceNanos);
      }
    }

    /** Sends one or two requests; returns whether the connection is still open. */
    private boolean call(KeptConnection connection, Random random, long idleSinceNanos)
        throws IOException {
      List<String> ids = new ArrayList<>();
      List<String> paths = new ArrayList<>();
      List<String> bodies = new ArrayList<>();
      int count = random.nextInt(4) == 0 ? 2 : 1;
      for (int i = 0; i < count; i++) {
        ids.add(nextId());
        paths.add(randomPath(random));
        bodies.add(random.nextInt(3) == 0 ? BODY : "");
      }
      long idleMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - idleSinceNanos);
      try {
        send(connection, random, ids, paths, bodies);
        for (int i = 0; i < count; i++) {
          RawResponse response = connection.receive();
          check(response, paths.get(i), ids.get(i), bodies.get(i));
          if (!response.complete() || response.headers().containsKey("Connection")) {
            return false;
          }
        }
        return true;
      } catch (IOException e) {
        recordEnd(paths, ids, idleMillis, e);
        return false;
      }
    }

    private String randomPath(Random random) {
      String route = VariedDocument.ROUTES.get(random.nextInt(VariedDocument.ROUTES.size()));
      String kind = route.startsWith("stream") ? "events" : "whole";
      int spread = MAX_PAUSE_MILLIS - MIN_PAUSE_MILLIS;
      int pauseMillis = MIN_PAUSE_MILLIS + random.nextInt(spread);
      return "/" + route + "/" + kind + "/" + (random.nextInt(3) == 0 ? 0 : pauseMillis);
    }

    /** Sends requests without waiting for responses, and bodies in two pieces. */
    private void send(
        KeptConnection connection,
        Random random,
        List<String> ids,
        List<String> paths,
        List<String> bodies)
        throws IOException {
      for (int i = 0; i < ids.size(); i++) {
        String body = bodies.get(i);
        if (body.isEmpty()) {
          connection.send(KeptConnection.get(paths.get(i), ids.get(i)));
        } else {
          int split = random.nextInt(body.length());
          String head = KeptConnection.postHead(paths.get(i), ids.get(i), body.length());
          connection.send(head + body.substring(0, split));
          sleep(random.nextInt(MIN_PAUSE_MILLIS));
          connection.send(body.substring(split));
        }
      }
    }

    private void check(RawResponse response, String path, String id, String body) {
      boolean whole =
          response.status() == 200
              && response.complete()
              && response.body().equals(expectedBody(kindOf(path), id, body));
      boolean isRefusal =
          REFUSALS.contains(response.status()) && response.complete() && !executedIds.contains(id);
      if (whole) {
        answered.incrementAndGet();
      } else if (isRefusal) {
        refused.incrementAndGet();
      } else {
        violations.add(path + " " + id + ": " + response);
      }
    }

    /**
     * Records a connection that ended without a response, which is allowed only if it was idle and
     * the request crossed the close.
     */
    private void recordEnd(List<String> paths, List<String> ids, long idleMillis, IOException e) {
      boolean mayHaveCrossed =
          idleMillis >= VariedDocument.SHORT_IDLE_TIMEOUT_MILLIS - MAX_DELAY_MILLIS
              && ids.stream().noneMatch(executedIds::contains);
      if (mayHaveCrossed) {
        crossed.incrementAndGet();
      } else {
        violations.add(paths + " " + ids + " after " + idleMillis + " ms: " + e);
      }
    }
  }
}
