package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.usage.RawCaller.RawResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/**
 * Usage tests of sound upstreams that fall silent for a few seconds and then go on.
 *
 * <p>A path {@code /ROUTE/PLACE/OTHER/SILENCE/NUMBER} names where the first upstream of a request
 * is silent, what any other upstream does with the request, and for how many milliseconds.
 */
public class SilentUpstreamUsageTest {

  private static final String FIRST_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  private static final String LAST_EVENT = "id: 3\ndata: c\n\n";
  private static final String ALL_EVENTS = FIRST_EVENTS + LAST_EVENT;
  private static final int BYTES_WITHIN_EVENT = 9;
  private static final int CONFIGURATION_MILLIS = 300;

  /** Silence after which callers of a stream leave: four targets. */
  private static final int CALLER_STALL_TIMEOUT_MILLIS = 4 * LocalGateway.TARGET_MILLIS;

  /** Time from which an upstream must not go on with a stream that another one got. */
  private static final int MAX_OVERLAP_MILLIS = 400;

  /** Where the first upstream that gets a request falls silent. */
  private enum Place {
    BEFORE_HEAD,
    AFTER_HEAD,
    BETWEEN_EVENTS,
    WITHIN_EVENT,
    /** Between two events, until another upstream gets the request. */
    UNTIL_TAKEOVER
  }

  /** What an upstream does with a request that another one has not completed. */
  private enum Other {
    /** Responds that it did not run the request. */
    REFUSES,
    /** Closes the connection. */
    BREAKS,
    /** Responds with an error of its own. */
    FAILS,
    /** Responds at once. */
    SERVES,
    /** Responds after a second. */
    SERVES_LATE,
    /** Does not respond until the first upstream has gone on. */
    QUEUES
  }

  private static final List<Place> PLACES =
      List.of(Place.BEFORE_HEAD, Place.AFTER_HEAD, Place.BETWEEN_EVENTS, Place.WITHIN_EVENT);

  private final AtomicInteger requests = new AtomicInteger();
  private final Map<String, List<Long>> arrivals = new ConcurrentHashMap<>();

  /** Times at which the gateway closed a connection, by path and number of the attempt. */
  private final Map<String, Long> closeTimes = new ConcurrentHashMap<>();

  /** Times at which an upstream began to respond to a request that another one has, by path. */
  private final Map<String, Long> responseTimes = new ConcurrentHashMap<>();

  private final AtomicLong configuration = new AtomicLong(7);
  private final ScheduledExecutorService operator = Executors.newSingleThreadScheduledExecutor();
  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;
  private LocalGateway smallGateway;
  private ScriptedUpstreams onlyUpstream;

  @BeforeClass
  public void startGateways() throws Exception {
    gateway = new LocalGateway();
    gateway.awaitServing();
    upstreams = new ScriptedUpstreams(gateway, 4, this::answer);
    smallGateway = new LocalGateway();
    smallGateway.awaitServing();
    onlyUpstream = new ScriptedUpstreams(smallGateway, 1, this::answer);
    LocalGateway.await(() -> isServing(gateway) && isServing(smallGateway));
    operator.scheduleWithFixedDelay(
        this::putNextConfiguration,
        CONFIGURATION_MILLIS,
        CONFIGURATION_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  @AfterClass(alwaysRun = true)
  public void stopGateways() throws Exception {
    operator.shutdownNow();
    operator.awaitTermination(5, TimeUnit.SECONDS);
    upstreams.close();
    onlyUpstream.close();
    gateway.close();
    smallGateway.close();
  }

  private boolean isServing(LocalGateway current) {
    return get(current, path("once", Place.BEFORE_HEAD, Other.SERVES, 0)).status() == 200;
  }

  private void putNextConfiguration() {
    long version = configuration.incrementAndGet();
    try {
      gateway.putDocument(0, version);
      smallGateway.putDocument(0, version);
    } catch (Exception e) {
      throw new IllegalStateException("version " + version + " was not stored", e);
    }
  }

  private String path(String route, Place place, Other other, int silenceMillis) {
    return "/"
        + String.join("/", route, place.name(), other.name(), "" + silenceMillis)
        + "/"
        + requests.incrementAndGet();
  }

  private static RawResponse get(LocalGateway current, String path) {
    try {
      return RawCaller.get(current.callerAddress(0), path, "1.1");
    } catch (IOException e) {
      throw new AssertionError("no response to " + path, e);
    }
  }

  private void answer(Exchange exchange) throws IOException {
    String[] path = exchange.path().split("/");
    List<Long> arrivalTimes =
        arrivals.computeIfAbsent(exchange.path(), key -> new CopyOnWriteArrayList<>());
    arrivalTimes.add(System.nanoTime());
    int number = arrivalTimes.size();
    int silenceMillis = Integer.parseInt(path[4]);
    try {
      if (number == 1) {
        answerWithSilence(exchange, Place.valueOf(path[2]), silenceMillis);
      } else {
        answerAsOther(exchange, Other.valueOf(path[3]), silenceMillis);
      }
    } catch (IOException e) {
      closeTimes.put(exchange.path() + "#" + number, System.nanoTime());
      throw e;
    }
  }

  private void answerWithSilence(Exchange exchange, Place place, int silenceMillis)
      throws IOException {
    if (place == Place.BEFORE_HEAD) {
      exchange.pause(silenceMillis);
    }
    exchange.writeHead(200, "Transfer-Encoding: chunked", "Content-Type: text/event-stream");
    if (place == Place.AFTER_HEAD) {
      exchange.pause(silenceMillis);
    }
    int beforeSilence =
        switch (place) {
          case BETWEEN_EVENTS, UNTIL_TAKEOVER -> FIRST_EVENTS.length();
          case WITHIN_EVENT -> FIRST_EVENTS.length() + BYTES_WITHIN_EVENT;
          default -> 0;
        };
    if (beforeSilence > 0) {
      exchange.writeChunk(ALL_EVENTS.substring(0, beforeSilence));
      if (place == Place.UNTIL_TAKEOVER) {
        awaitTakeover(exchange.path());
      } else {
        exchange.pause(silenceMillis);
      }
    }
    exchange.writeChunk(ALL_EVENTS.substring(beforeSilence));
    exchange.writeChunk("");
  }

  private void awaitTakeover(String path) {
    try {
      LocalGateway.await(() -> arrivals.get(path).size() > 1);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void answerAsOther(Exchange exchange, Other other, int silenceMillis) throws IOException {
    switch (other) {
      case REFUSES -> exchange.writeHead(503, "X-Not-Run: full", "Content-Length: 0");
      case BREAKS -> exchange.close();
      case FAILS -> exchange.writeAnswer(500, "{}");
      default -> {
        exchange.pause(other == Other.QUEUES ? silenceMillis : 0);
        exchange.pause(other == Other.SERVES_LATE ? 1_000 : 0);
        responseTimes.put(exchange.path(), System.nanoTime());
        boolean resumes = exchange.header("Last-Event-Id").equals("2");
        exchange.writeAnswer(200, resumes ? LAST_EVENT : ALL_EVENTS);
      }
    }
  }

  @DataProvider(parallel = true)
  public Object[][] silences() {
    List<Object[]> cases = new ArrayList<>();
    for (String route : List.of("once", "repeatable", "stream-once", "stream")) {
      for (Place place : PLACES) {
        for (int silenceMillis : List.of(1_000, 2_000, 3_200)) {
          boolean movable = route.equals("repeatable") || route.equals("stream");
          for (Other other : movable ? List.of(Other.values()) : List.of(Other.SERVES)) {
            cases.add(new Object[] {route, place, silenceMillis, other});
          }
        }
      }
    }
    return cases.toArray(Object[][]::new);
  }

  /** Guards against a response that is broken off because its sound upstream paused. */
  @Test(dataProvider = "silences")
  public void shouldDeliverWholeResponseOfUpstreamThatWasSilent(
      String route, Place place, int silenceMillis, Other other) {
    assertWhole(gateway, path(route, place, other, silenceMillis));
  }

  @DataProvider(parallel = true)
  public Object[][] silencesOfOnlyUpstream() {
    List<Object[]> cases = new ArrayList<>();
    for (String route : List.of("once", "repeatable", "stream-once", "stream")) {
      for (Place place : PLACES) {
        cases.add(new Object[] {route, place, 2_000});
        cases.add(new Object[] {route, place, 3_200});
      }
    }
    return cases.toArray(Object[][]::new);
  }

  /** Guards against giving up a silent upstream that no other upstream can take over from. */
  @Test(dataProvider = "silencesOfOnlyUpstream")
  public void shouldDeliverWholeResponseOfOnlyUpstreamThatWasSilent(
      String route, Place place, int silenceMillis) {
    assertWhole(smallGateway, path(route, place, Other.SERVES, silenceMillis));
  }

  private static void assertWhole(LocalGateway current, String path) {
    RawResponse response = get(current, path);
    assertThat(response.status()).as("%s: %s", path, response).isEqualTo(200);
    assertThat(response.complete()).as("%s complete: %s", path, response).isTrue();
    assertThat(response.body()).as(path).isEqualTo(ALL_EVENTS);
  }

  @DataProvider(parallel = true)
  public Object[][] takeovers() {
    return new Object[][] {
      {Place.BETWEEN_EVENTS, Other.SERVES},
      {Place.BETWEEN_EVENTS, Other.SERVES_LATE},
      {Place.WITHIN_EVENT, Other.SERVES},
      {Place.WITHIN_EVENT, Other.SERVES_LATE},
    };
  }

  /** Guards against two upstreams that work on one stream for long. */
  @Test(dataProvider = "takeovers")
  public void shouldCloseConnectionOfSilentUpstreamSoonAfterAnotherRunsTheStream(
      Place place, Other other) throws Exception {
    String path = path("stream", place, other, 4_000);
    assertWhole(gateway, path);
    LocalGateway.await(() -> closeTimes.containsKey(path + "#1"));
    long overlapNanos = closeTimes.get(path + "#1") - responseTimes.get(path);
    assertThat(TimeUnit.NANOSECONDS.toMillis(overlapNanos)).isLessThan(MAX_OVERLAP_MILLIS);
  }

  /** Guards against a second upstream that goes on with a request that the first one completes. */
  @Test
  public void shouldCloseConnectionOfOtherUpstreamWhenTheSilentOneGoesOn() throws Exception {
    String path = path("stream", Place.UNTIL_TAKEOVER, Other.QUEUES, 4_000);
    assertWhole(gateway, path);
    assertThat(arrivals.get(path)).hasSize(2);
    LocalGateway.await(() -> closeTimes.containsKey(path + "#2"));
  }

  /** Guards against a caller that leaves without any response since a head without events came. */
  @Test
  public void shouldAnswerCallerOfStreamWithoutEventsBeforeItLeaves() {
    for (String route : List.of("stream", "stream-once")) {
      String path = path(route, Place.AFTER_HEAD, Other.SERVES, 6_000);
      long startedAt = System.nanoTime();
      RawResponse response = get(smallGateway, path);
      assertThat(response.status()).as("%s: %s", path, response).isEqualTo(504);
      assertThat(response.body()).contains("upstream-silent").contains("\"run\":\"unknown\"");
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
      assertThat(millis).isLessThan(CALLER_STALL_TIMEOUT_MILLIS);
    }
  }
}
