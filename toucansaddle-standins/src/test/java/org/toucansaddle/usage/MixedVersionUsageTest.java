package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.CallerLimits;
import org.toucansaddle.daemon.gateway.ClientAccount;
import org.toucansaddle.daemon.gateway.DocumentException;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.Repetition;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.gateway.ServiceDefinition;
import org.toucansaddle.daemon.gateway.WeightedService;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/**
 * Usage tests of resumable streams while upstreams of several software versions serve side by side.
 *
 * <p>Each case has a service of its own, since routers remember the versions of a service. A path
 * {@code /ROUTE/END/LAST/KEY} names how an upstream ends after two events, and the last event of
 * the stream. The data of an event name the service and version that wrote it.
 */
public class MixedVersionUsageTest {

  private static final String V1 = "v1";
  private static final String V2 = "v1.1";

  /** Route that is split over two services. */
  private static final String SPLIT = "split";

  private static final List<String> SPLIT_SERVICES = List.of("left", "right");
  private static final List<String> SERVICES =
      List.of(
          "resumed",
          "alone",
          "running",
          "started",
          "earlier",
          "many",
          "gone",
          "draining",
          "several",
          "one");

  private static final int ROUTERS = 2;
  private static final int MAX_ATTEMPTS = 3;
  private static final int MAX_CONNECTIONS = 200;
  private static final int EVENTS_PER_ATTEMPT = 2;

  /** Time until the first event; an engine needs at least that long for a prompt. */
  private static final int FIRST_EVENT_MILLIS = 50;

  /** Requests in a row that show that a version does not serve. */
  private static final int PROBES = 30;

  private static final int MAX_STREAMS = 60;

  /** Time after which a router has reported everything: two report intervals. */
  private static final int REPORT_MILLIS = 800;

  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final AtomicInteger requests = new AtomicInteger();
  private final Set<String> receivedRequests = ConcurrentHashMap.newKeySet();
  private final List<StreamCaller> openCallers = new ArrayList<>();
  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;
  private boolean firstRouterClosed;

  /**
   * A stream that a caller has received the first events of. Immutable.
   *
   * @param request id of the request that brought the first event
   * @param last id of the last event
   * @param origin service and version that wrote the first event
   */
  private record BegunStream(String request, String path, int last, String origin) {}

  /** What a caller received of a stream that it took up again. Immutable. */
  private record Return(String request, int status, String body, boolean complete) {}

  @BeforeClass
  public void startGateway() throws Exception {
    gateway = new LocalGateway(MixedVersionUsageTest::parseDocument);
    gateway.awaitServing();
    upstreams = new ScriptedUpstreams(gateway, this::answer);
  }

  @AfterClass(alwaysRun = true)
  public void stopGateway() throws Exception {
    callers.shutdownNow();
    upstreams.close();
    gateway.close();
  }

  @AfterMethod(alwaysRun = true)
  public void restore() throws Exception {
    for (StreamCaller caller : openCallers) {
      caller.close();
    }
    openCallers.clear();
    if (firstRouterClosed) {
      firstRouterClosed = false;
      restartRouter(0);
    }
  }

  private void closeFirstRouter() {
    firstRouterClosed = true;
    gateway.closeRouter(0);
  }

  private static FleetDocument parseDocument(byte[] content) throws DocumentException {
    long version = Long.parseLong(new String(content, StandardCharsets.UTF_8));
    List<Route> routes = new ArrayList<>();
    List<ServiceDefinition> services = new ArrayList<>();
    for (String name : SERVICES) {
      routes.add(streamRoute(name, List.of(name)));
      services.add(service(name));
    }
    routes.add(streamRoute(SPLIT, SPLIT_SERVICES));
    SPLIT_SERVICES.forEach(name -> services.add(service(name)));
    List<ClientAccount> accounts =
        List.of(new ClientAccount("captain", Set.of(LocalGateway.API_KEY)));
    return new FleetDocument(
            version, routes, services, Optional.of(accounts), CallerLimits.defaults())
        .validated();
  }

  private static ServiceDefinition service(String name) {
    return new ServiceDefinition(name, "/healthz", MAX_CONNECTIONS, Optional.empty());
  }

  private static Route streamRoute(String name, List<String> services) {
    return LocalGateway.route(
        name,
        Repetition.STREAM,
        MAX_ATTEMPTS,
        true,
        services.stream().map(service -> new WeightedService(service, 1)).toList());
  }

  private void answer(Exchange exchange) throws IOException {
    receivedRequests.add(exchange.header("X-Request-Id"));
    String[] path = exchange.path().split("/");
    int last = Integer.parseInt(path[3]);
    String lastReceived = exchange.header("Last-Event-Id");
    int first = lastReceived.isEmpty() ? 1 : Integer.parseInt(lastReceived) + 1;
    int lastWritten = Math.min(last, first + EVENTS_PER_ATTEMPT - 1);
    exchange.writeHead(200, "Transfer-Encoding: chunked");
    if (first == 1 && lastWritten < last) {
      sleep(FIRST_EVENT_MILLIS);
    }
    String origin = exchange.service() + " " + exchange.softwareVersion();
    exchange.writeChunk(events(origin, first, lastWritten));
    if (lastWritten == last) {
      exchange.writeChunk("");
    } else if (path[2].equals("reset")) {
      exchange.resetAfterDelivery();
    } else {
      exchange.awaitClosed();
    }
  }

  private static String events(String origin, int first, int last) {
    StringBuilder text = new StringBuilder();
    for (int id = first; id <= last; id++) {
      text.append("id: " + id + "\ndata: " + origin + "\n\n");
    }
    return text.toString();
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Starts upstreams of a service and waits until both routers use both versions. */
  private void serve(String service, int firstVersions, int secondVersions) throws Exception {
    start(service, V1, firstVersions);
    start(service, V2, secondVersions);
    awaitServing(service, service + " " + V1, service + " " + V2);
  }

  private void start(String service, String version, int count) throws IOException {
    for (int index = 0; index < count; index++) {
      upstreams.start(id(service, version, index), service, version);
    }
  }

  private static String id(String service, String version, int index) {
    return service + "-" + version + "-" + index;
  }

  /** Waits until each router has sent requests to all the given origins. */
  private void awaitServing(String route, String... origins) throws Exception {
    for (int router = 0; router < ROUTERS; router++) {
      String address = gateway.callerAddress(router);
      Set<String> missing = new HashSet<>(Set.of(origins));
      LocalGateway.await(
          () -> {
            missing.remove(probe(address, route));
            return missing.isEmpty();
          });
    }
  }

  /** Waits until the routers send requests to an origin only. */
  private void awaitServingOnly(String route, String origin) throws Exception {
    for (int router = 0; router < ROUTERS; router++) {
      String address = gateway.callerAddress(router);
      LocalGateway.await(
          () -> IntStream.range(0, PROBES).allMatch(i -> probe(address, route).equals(origin)));
    }
  }

  /** Returns where a new request is served, or the status of a refusal. */
  private String probe(String address, String route) {
    try (StreamCaller caller = open(address, "/" + route + "/whole/2/probe", newId(), Map.of())) {
      caller.readToEnd();
      return caller.status() == 200 ? originOf(caller.body()) : "status " + caller.status();
    } catch (IOException e) {
      throw new AssertionError("no response of " + address, e);
    }
  }

  private String newId() {
    return "request-" + requests.incrementAndGet();
  }

  private static StreamCaller open(
      String address, String path, String request, Map<String, String> fields) throws IOException {
    Map<String, String> all = new HashMap<>(fields);
    all.put("X-Request-Id", request);
    return new StreamCaller(address, path, all);
  }

  private static String originOf(String body) {
    int start = body.indexOf("data: ") + "data: ".length();
    return body.substring(start, body.indexOf('\n', start));
  }

  /** Lets a caller receive the first two events of a stream, which stays open at its upstream. */
  private BegunStream begin(String route, int last) throws IOException {
    String request = newId();
    String path = "/" + route + "/open/" + last + "/" + request;
    StreamCaller caller = open(gateway.callerAddress(0), path, request, Map.of());
    openCallers.add(caller);
    caller.readEvent(EVENTS_PER_ATTEMPT);
    assertThat(caller.status()).as(caller.body()).isEqualTo(200);
    return new BegunStream(request, path, last, originOf(caller.body()));
  }

  private List<BegunStream> begin(String route, int last, int count) throws IOException {
    List<BegunStream> streams = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      streams.add(begin(route, last));
    }
    return streams;
  }

  /** Begins streams until one has begun at the first version. */
  private BegunStream beginAtFirstVersion(String route, int last) throws IOException {
    for (int index = 0; index < MAX_STREAMS; index++) {
      BegunStream stream = begin(route, last);
      if (stream.origin().endsWith(V1)) {
        return stream;
      }
    }
    throw new AssertionError("no stream began at " + V1);
  }

  /** Takes a stream up again after an event, at router 1, and leaves after another event. */
  private Return takeUp(BegunStream stream, int lastReceived, int lastRead) throws IOException {
    String request = newId();
    Map<String, String> fields =
        Map.of("Last-Event-Id", Integer.toString(lastReceived), "X-Resumes", stream.request());
    try (StreamCaller caller = open(gateway.callerAddress(1), stream.path(), request, fields)) {
      caller.readEvent(lastRead);
      if (lastRead == stream.last()) {
        caller.readToEnd();
      }
      return new Return(request, caller.status(), caller.body(), caller.isComplete());
    }
  }

  private void restartRouter(int index) throws Exception {
    gateway.restartRouter(index);
    LocalGateway.await(() -> gateway.router(index).isReady());
  }

  /** Guards against a response that the router goes on with at another software version. */
  @Test
  public void shouldResumeWithinResponseOnlyAtVersionThatBeganIt() throws Exception {
    serve("resumed", 2, 2);
    List<String> wrong = new ArrayList<>();
    for (int index = 0; index < 12; index++) {
      String request = newId();
      String path = "/resumed/reset/4/" + request;
      try (StreamCaller caller = open(gateway.callerAddress(0), path, request, Map.of())) {
        caller.readToEnd();
        String expected = events(originOf(caller.body()), 1, 4);
        if (!caller.isComplete() || !caller.body().equals(expected)) {
          wrong.add(caller.body());
        }
      }
    }
    assertThat(wrong).isEmpty();
  }

  /** Guards against a response that goes on at another version when its own serves no longer. */
  @Test
  public void shouldBreakOffResponseThatNoOtherUpstreamOfItsVersionCanResume() throws Exception {
    serve("alone", 1, 2);
    List<String> wrong = new ArrayList<>();
    int begunAtFirstVersion = 0;
    for (int index = 0; index < MAX_STREAMS && begunAtFirstVersion < 4; index++) {
      String request = newId();
      String path = "/alone/reset/4/" + request;
      try (StreamCaller caller = open(gateway.callerAddress(0), path, request, Map.of())) {
        caller.readToEnd();
        String origin = originOf(caller.body());
        boolean isFirstVersion = origin.endsWith(V1);
        begunAtFirstVersion += isFirstVersion ? 1 : 0;
        String expected = events(origin, 1, isFirstVersion ? 2 : 4);
        if (caller.isComplete() == isFirstVersion || !caller.body().equals(expected)) {
          wrong.add(caller.body());
        }
      }
    }
    assertThat(begunAtFirstVersion).isEqualTo(4);
    assertThat(wrong).isEmpty();
  }

  @DataProvider
  public Object[][] routersOfReturns() {
    return new Object[][] {{"running", false}, {"started", true}};
  }

  /**
   * Guards against a stream that its caller takes up, several times, at another software version
   * after the router that began it has failed.
   */
  @Test(dataProvider = "routersOfReturns")
  public void shouldGoOnAtVersionThatBeganStreamOfClosedRouter(String route, boolean justStarted)
      throws Exception {
    serve(route, 2, 2);
    List<BegunStream> streams = begin(route, 6, 6);
    closeFirstRouter();
    if (justStarted) {
      restartRouter(1);
    }
    assertThat(takeUpTwice(streams)).isEmpty();
  }

  /** Guards against a stream that goes on at a version that started only after it had begun. */
  @Test
  public void shouldGoOnAtVersionThatBeganStreamBeforeAnotherVersionStarted() throws Exception {
    start("earlier", V1, 2);
    awaitServing("earlier", "earlier " + V1);
    List<BegunStream> streams = begin("earlier", 6, 6);
    sleep(REPORT_MILLIS);
    start("earlier", V2, 2);
    awaitServing("earlier", "earlier " + V1, "earlier " + V2);
    closeFirstRouter();
    assertThat(takeUpTwice(streams)).isEmpty();
  }

  /** Takes each stream up after events 2 and 4; returns those that did not go on as they began. */
  private List<String> takeUpTwice(List<BegunStream> streams) throws IOException {
    List<String> wrong = new ArrayList<>();
    for (BegunStream stream : streams) {
      Return first = takeUp(stream, 2, 4);
      Return second = takeUp(stream, 4, 6);
      boolean isRight =
          first.body().equals(events(stream.origin(), 3, 4))
              && second.body().equals(events(stream.origin(), 5, 6))
              && second.complete();
      if (!isRight) {
        wrong.add(stream.origin() + ": " + first + second);
      }
    }
    return wrong;
  }

  /** Guards against returns that are refused, or go on at another version, when many come. */
  @Test
  public void shouldGoOnWithHalfOrMoreOfManyStreamsWhileTheirVersionServes() throws Exception {
    serve("many", 2, 2);
    List<BegunStream> streams = begin("many", 4, 24);
    closeFirstRouter();
    List<Callable<Return>> tasks = new ArrayList<>();
    streams.forEach(stream -> tasks.add(() -> takeUp(stream, 2, 4)));
    List<String> mixed = new ArrayList<>();
    int wentOn = 0;
    List<Future<Return>> returns = callers.invokeAll(tasks);
    for (int index = 0; index < streams.size(); index++) {
      Return result = returns.get(index).get();
      if (result.body().equals(events(streams.get(index).origin(), 3, 4)) && result.complete()) {
        wentOn++;
      } else if (result.status() == 200) {
        mixed.add(streams.get(index).origin() + ": " + result);
      }
    }
    assertThat(mixed).isEmpty();
    assertThat(wentOn).isGreaterThanOrEqualTo(streams.size() / 2);
  }

  @DataProvider
  public Object[][] departures() {
    return new Object[][] {{"gone", true}, {"draining", false}};
  }

  /** Guards against a stream that goes on at another version once its own has gone or drains. */
  @Test(dataProvider = "departures")
  public void shouldRefuseReturnOnceVersionThatBeganStreamTakesNoRequests(
      String route, boolean stops) throws Exception {
    serve(route, 1, 2);
    BegunStream stream = beginAtFirstVersion(route, 4);
    if (stops) {
      upstreams.stop(id(route, V1, 0));
    } else {
      upstreams.drain(id(route, V1, 0));
    }
    awaitServingOnly(route, route + " " + V2);
    assertRefused(stream);
  }

  private void assertRefused(BegunStream stream) throws IOException {
    long startNanos = System.nanoTime();
    Return refused = takeUp(stream, 2, 4);
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    assertThat(refused.status()).as(refused.body()).isEqualTo(503);
    assertThat(refused.body()).contains("\"run\":\"not-run\"");
    assertThat(receivedRequests).doesNotContain(refused.request());
    assertThat(millis).isLessThan(LocalGateway.TARGET_MILLIS);
  }

  /** Guards against a stream of unknown origin that goes on at any of several versions. */
  @Test
  public void shouldRefuseReturnOfUnknownOriginWhileSeveralVersionsServe() throws Exception {
    serve("several", 1, 1);
    assertRefused(new BegunStream("unknown-1", "/several/open/4/unknown", 4, ""));
  }

  /** Guards against a stream of unknown origin that is refused although only one version serves. */
  @Test
  public void shouldGoOnWithReturnOfUnknownOriginWhileOneVersionServes() throws Exception {
    start("one", V1, 2);
    awaitServing("one", "one v1");
    Return result = takeUp(new BegunStream("unknown-2", "/one/open/4/unknown", 4, ""), 2, 4);
    assertThat(result.status()).as(result.body()).isEqualTo(200);
    assertThat(result.body()).isEqualTo(events("one v1", 3, 4));
    assertThat(result.complete()).isTrue();
  }

  /** Guards against a stream that goes on at another service of its route. */
  @Test
  public void shouldGoOnAtServiceThatBeganStreamOfSplitRoute() throws Exception {
    for (String service : SPLIT_SERVICES) {
      start(service, V1, 1);
      start(service, V2, 1);
    }
    awaitServing(SPLIT, "left v1", "left v1.1", "right v1", "right v1.1");
    List<String> wrong = new ArrayList<>();
    for (BegunStream stream : begin(SPLIT, 4, 12)) {
      Return result = takeUp(stream, 2, 4);
      if (!result.body().equals(events(stream.origin(), 3, 4)) || !result.complete()) {
        wrong.add(stream.origin() + ": " + result);
      }
    }
    assertThat(wrong).isEmpty();
  }
}
