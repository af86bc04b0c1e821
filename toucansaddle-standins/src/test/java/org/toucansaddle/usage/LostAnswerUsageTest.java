package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
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
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/** Usage tests of upstreams that run a request whose answer is lost, on routes of all kinds. */
public class LostAnswerUsageTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(15);
  private static final int SILENT_MILLIS = 3_500;

  /** More than the upstreams that are paused for a moment since they lost the answers before. */
  private static final int UPSTREAMS = 8;

  /** Requests that do not lose their answer and let routers learn how fast the upstreams are. */
  private static final int WARM_UP_REQUESTS = 40;

  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;

  /** How the answer to the first run of a request is lost. */
  private enum Loss {
    CLOSED,
    RESET,
    PARTIAL_HEAD,
    PARTIAL_BODY,
    SILENT
  }

  @BeforeClass
  public void startGateway() throws Exception {
    gateway = new LocalGateway(LostAnswerUsageTest::parseDocument);
    gateway.awaitServing();
    upstreams = new ScriptedUpstreams(gateway, UPSTREAMS, this::answer);
    for (String route : List.of("once-resumable", "repeatable")) {
      LocalGateway.await(() -> send("/" + route + "/sound").status() == 200);
      for (int i = 0; i < WARM_UP_REQUESTS; i++) {
        send("/" + route + "/sound");
      }
    }
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
            LocalGateway.route("once-resumable", Repetition.ONCE, 2, true, services),
            LocalGateway.route("repeatable", Repetition.REPEATABLE, 2, true, services),
            LocalGateway.route("stream", Repetition.STREAM, 2, true, services));
    return LocalGateway.document(version, routes);
  }

  private HttpResponse send(String path) {
    return client.send(gateway.request(0, path), TIMEOUT).join();
  }

  private void answer(Exchange exchange) throws IOException {
    String loss = exchange.path().substring(exchange.path().lastIndexOf('/') + 1);
    int run = runs.computeIfAbsent(exchange.path(), path -> new AtomicInteger()).incrementAndGet();
    if (loss.equals("sound") || run > 1) {
      exchange.writeHead(200, "Content-Type: text/event-stream", "Content-Length: 15");
      exchange.write("id: 1\ndata: a\n\n");
      return;
    }
    switch (Loss.valueOf(loss)) {
      case CLOSED -> exchange.close();
      case RESET -> exchange.resetAfterDelivery();
      case PARTIAL_HEAD -> {
        exchange.write("HTTP/1.1 200 OK\r\nX-Answer-Se");
        exchange.close();
      }
      case PARTIAL_BODY -> {
        exchange.writeHead(200, "Content-Type: text/event-stream", "Content-Length: 15");
        exchange.write("id: 1\nda");
        exchange.close();
      }
      case SILENT -> {
        exchange.pause(SILENT_MILLIS);
        exchange.writeAnswer(200, "late answer");
      }
      default -> throw new AssertionError(loss);
    }
  }

  @DataProvider
  public Object[][] losses() {
    return Arrays.stream(Loss.values()).map(loss -> new Object[] {loss}).toArray(Object[][]::new);
  }

  /** Guards against a request that runs twice on a route that is marked as resumable by mistake. */
  @Test(dataProvider = "losses")
  public void shouldRunRequestOnceOnNonIdempotentRouteMarkedAsResumable(Loss loss) {
    String path = "/once-resumable/" + loss;
    int status;
    try {
      status = send(path).status();
    } catch (RuntimeException e) {
      // The connection ended, as it must if part of the body was forwarded.
      status = 0;
    }
    assertThat(runs.get(path)).hasValue(1);
    assertThat(status).as("may have run, so it must not look refused").isNotIn(408, 421, 429, 503);
  }

  @DataProvider
  public Object[][] routesThatMayRunAgain() {
    return new Object[][] {
      {"repeatable", Loss.RESET}, {"repeatable", Loss.PARTIAL_HEAD}, {"repeatable", Loss.SILENT},
      {"stream", Loss.RESET}, {"stream", Loss.PARTIAL_HEAD}, {"stream", Loss.PARTIAL_BODY},
    };
  }

  @Test(dataProvider = "routesThatMayRunAgain")
  public void shouldRunRequestAgainWhereItsRouteAllowsIt(String route, Loss loss) {
    String path = "/" + route + "/" + loss;
    assertThat(send(path).status()).isEqualTo(200);
    assertThat(runs.get(path)).hasValue(2);
  }
}
