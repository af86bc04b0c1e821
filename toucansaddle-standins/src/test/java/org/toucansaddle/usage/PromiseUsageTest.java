package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.DocumentException;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.Repetition;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.gateway.WeightedService;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/**
 * Usage tests of the statuses 408, 421, 429 and 503, by which a caller knows that its request has
 * not run and never will, over the paths on which a call ends.
 *
 * <p>The upstreams record which requests they receive and which they run.
 */
public class PromiseUsageTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(15);
  private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);
  private static final String DEADLINE_MILLIS = "2000";

  /** Time in which a request that was answered as not run might still reach an upstream. */
  private static final long LATER_MILLIS = 4_000;

  /** More than the upstreams that a case makes a router avoid for a moment. */
  private static final int UPSTREAMS = 8;

  /** Requests that allow a service more than one retry. */
  private static final int SOUND_REQUESTS = 20;

  private static final String SEAL = "X-Answer-Seal";

  private static final String OK = "id: 1\ndata: a\n\n";

  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
  private final Map<String, AtomicInteger> arrivals = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

  private final AtomicInteger sentCases = new AtomicInteger();

  /** Arrivals at the time of the response of each request that was answered as not run. */
  private final Map<String, Integer> promised = new ConcurrentHashMap<>();

  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;

  @BeforeClass
  public void startGateway() throws Exception {
    gateway = new LocalGateway(PromiseUsageTest::parseDocument);
    gateway.awaitServing();
    upstreams = new ScriptedUpstreams(gateway, UPSTREAMS, this::answer);
    LocalGateway.await(() -> send("/once/sound").status() == 200);
  }

  @AfterClass(alwaysRun = true)
  public void stopGateway() throws Exception {
    client.close();
    upstreams.close();
    gateway.close();
  }

  private static FleetDocument parseDocument(byte[] content) throws DocumentException {
    long version = Long.parseLong(new String(content, StandardCharsets.UTF_8));
    List<WeightedService> services = List.of(new WeightedService("desk", 1));
    List<Route> routes =
        List.of(
            LocalGateway.route("once", Repetition.ONCE, 3, false, services),
            LocalGateway.route("once-resumable", Repetition.ONCE, 3, true, services),
            LocalGateway.route("stream-once", Repetition.STREAM, 3, false, services),
            LocalGateway.route("stream", Repetition.STREAM, 3, true, services),
            LocalGateway.route("repeatable", Repetition.REPEATABLE, 3, false, services));
    return LocalGateway.document(version, routes);
  }

  private HttpResponse send(String path) {
    return client.send(createRequest(path), TIMEOUT).join();
  }

  private HttpRequest createRequest(String path) {
    return gateway.request(0, path).withHeader("X-Deadline-Ms", DEADLINE_MILLIS);
  }

  /** Answers a request of a path {@code /ROUTE/STEP,STEP,...}; each attempt takes one step. */
  private void answer(Exchange exchange) throws IOException {
    String id = exchange.header("X-Request-Id");
    int arrival = arrivals.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
    String[] steps = exchange.path().split("/")[2].split(",");
    String step = steps[Math.min(arrival, steps.length) - 1];
    String[] parts = step.split("-");
    if (!parts[0].equals("refuses")) {
      runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
    }
    switch (parts[0]) {
      case "sound" -> writeOk(exchange, OK.length());
      case "refuses" -> {
        String field = parts[1].equals("421") ? "X-Other: 1" : "X-Not-Run: 1";
        exchange.writeHead(Integer.parseInt(parts[1]), field, "Content-Length: 0");
      }
      case "runs" -> exchange.writeAnswer(Integer.parseInt(parts[1]), "own answer");
      case "unsealed" ->
          exchange.write("HTTP/1.1 " + parts[1] + " Status\r\nContent-Length: 0\r\n\r\n");
      case "unnamed" ->
          exchange.write(
              "HTTP/1.1 " + parts[1] + " Status\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
      case "closes" -> exchange.close();
      case "resets" -> exchange.resetAfterDelivery();
      case "truncates" -> {
        writeOk(exchange, OK.length() + 1);
        exchange.close();
      }
      case "silent" -> exchange.awaitClosed();
      default -> throw new AssertionError(step);
    }
  }

  private static void writeOk(Exchange exchange, int length) throws IOException {
    exchange.writeHead(200, "Content-Type: text/event-stream", "Content-Length: " + length);
    exchange.write(OK);
  }

  @DataProvider
  public Object[][] endsOfCalls() {
    List<String> behaviours = new ArrayList<>(List.of("closes", "resets", "truncates", "silent"));
    for (int status : PROMISES) {
      behaviours.add("refuses-" + status);
      behaviours.add("unsealed-" + status);
      behaviours.add("unnamed-" + status);
    }
    // An upstream that names the request in a 421 has not run it: the status says so.
    for (int status : List.of(408, 429, 503)) {
      behaviours.add("runs-" + status);
      behaviours.add("refuses-503,runs-" + status);
    }
    behaviours.addAll(List.of("runs-500", "runs-502", "runs-504", "refuses-400"));
    behaviours.addAll(List.of("refuses-503,closes", "refuses-421,resets", "refuses-503,silent"));
    behaviours.addAll(List.of("closes,refuses-503", "closes,refuses-421", "runs-500,refuses-429"));
    List<Object[]> cases = new ArrayList<>();
    for (String route : List.of("once", "once-resumable", "stream-once", "stream", "repeatable")) {
      behaviours.forEach(behaviour -> cases.add(new Object[] {route, behaviour}));
    }
    return cases.toArray(new Object[0][]);
  }

  /**
   * Guards against a request that ran and is answered as not run, on routes that run it once, and
   * against an upstream's seal on a failure that the upstream did not send.
   */
  @Test(dataProvider = "endsOfCalls")
  public void shouldPromiseOnlyWhatHasNotRun(String route, String behaviour) throws Exception {
    boolean retried = behaviour.startsWith("refuses") || route.equals("repeatable");
    int attempts = retried ? behaviour.split(",").length : 1;
    // After the cases before, a router may avoid all upstreams for a moment or have no retry left.
    LocalGateway.await(
        () -> {
          sendSoundRequests();
          return countArrivals(route, behaviour) >= attempts;
        });
  }

  private void sendSoundRequests() {
    for (int i = 0; i < SOUND_REQUESTS; i++) {
      send("/repeatable/sound");
    }
  }

  /** Sends a request and returns how often it arrived until its response. */
  private int countArrivals(String route, String behaviour) {
    // Another path each time: routers refuse a request that crashed upstreams before.
    HttpRequest request =
        createRequest("/" + route + "/" + behaviour + "/" + sentCases.incrementAndGet());
    String id = request.headers().get("X-Request-Id");
    int status;
    boolean fromUpstream = false;
    boolean sealed = false;
    String text = "";
    try {
      HttpResponse response = client.send(request, TIMEOUT).join();
      status = response.status();
      text = response.text();
      fromUpstream = text.equals("own answer");
      sealed = response.header(SEAL).isPresent();
    } catch (RuntimeException e) {
      // The connection ended, which promises nothing.
      status = 0;
    }
    if (sealed && status >= 400) {
      assertThat(behaviour).as("behaviour that explains the seal").contains("runs-" + status);
    }
    int ran = count(runs, id);
    boolean runsOnce = route.contains("once");
    if (runsOnce) {
      assertThat(ran).as("runs").isLessThanOrEqualTo(1);
    }
    if (PROMISES.contains(status) && (runsOnce || !fromUpstream)) {
      assertThat(ran).as("runs of what was answered %d: %s", status, text).isZero();
      promised.put(id, count(arrivals, id));
    }
    return count(arrivals, id);
  }

  /** Guards against a request that is answered as not run and reaches an upstream after that. */
  @Test(dependsOnMethods = "shouldPromiseOnlyWhatHasNotRun", alwaysRun = true)
  public void shouldSendNothingAfterThePromise() throws InterruptedException {
    assertThat(promised).as("requests answered as not run").isNotEmpty();
    TimeUnit.MILLISECONDS.sleep(LATER_MILLIS);
    assertThat(promised)
        .allSatisfy((id, before) -> assertThat(count(arrivals, id)).as(id).isEqualTo(before));
  }

  private static int count(Map<String, AtomicInteger> counts, String id) {
    return counts.getOrDefault(id, new AtomicInteger()).get();
  }
}
