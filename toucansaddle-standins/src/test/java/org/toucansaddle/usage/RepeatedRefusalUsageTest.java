package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
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

/**
 * Usage tests of an upstream that writes the refusal of an earlier request once more, where the
 * response to a request that it runs is expected.
 */
public class RepeatedRefusalUsageTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int REQUESTS = 40;

  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;

  @BeforeClass
  public void startGateway() throws Exception {
    gateway = new LocalGateway(RepeatedRefusalUsageTest::parseDocument);
    gateway.awaitServing();
    upstreams = new ScriptedUpstreams(gateway, 3, this::answer);
    LocalGateway.await(() -> send("/once/sound/none/none").status() == 200);
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
            LocalGateway.route("once", Repetition.ONCE, 2, false, services),
            LocalGateway.route("stream-once", Repetition.STREAM, 2, false, services));
    return LocalGateway.document(version, routes);
  }

  private HttpResponse send(String path) {
    return client.send(gateway.request(0, path), TIMEOUT).join();
  }

  /** Answers requests of a path {@code /ROUTE/MOMENT/STATUS/ID}. */
  private void answer(Exchange exchange) throws IOException {
    String[] path = exchange.path().split("/");
    String id = exchange.header("X-Request-Id");
    runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
    String refusal = path[2].equals("sound") ? "" : refusal(path[3], path[4]);
    if (path[2].equals("before")) {
      exchange.write(refusal);
    }
    exchange.writeHead(200, "Content-Type: text/event-stream", "Content-Length: 15");
    exchange.write("id: 1\ndata: a\n\n");
    if (path[2].equals("after")) {
      exchange.write(refusal);
    }
  }

  private static String refusal(String status, String id) {
    String idField = id.equals("other") ? "X-Request-Id: another\r\n" : "";
    return "HTTP/1.1 %s Refused\r\nX-Not-Run: 1\r\n%sContent-Length: 0\r\n\r\n"
        .formatted(status, idField);
  }

  @DataProvider
  public Object[][] refusals() {
    return new Object[][] {
      {"once", "before", "503", "none"},
      {"once", "before", "429", "none"},
      {"once", "before", "421", "none"},
      {"once", "before", "400", "none"},
      {"once", "before", "503", "other"},
      {"once", "after", "503", "none"},
      {"once", "after", "503", "other"},
      {"stream-once", "before", "503", "none"},
      {"stream-once", "after", "421", "none"},
    };
  }

  /**
   * Guards against a request that runs at two upstreams, or that runs and is answered as not run.
   */
  @Test(dataProvider = "refusals")
  public void shouldNotTakeRefusalOfEarlierRequestForThatOfAnother(
      String route, String moment, String status, String id) {
    runs.clear();
    for (int i = 0; i < REQUESTS; i++) {
      HttpResponse response = send("/" + route + "/" + moment + "/" + status + "/" + id);
      assertThat(response.status()).as(response.text()).isIn(200, 502);
    }
    assertThat(runs.values()).allSatisfy(count -> assertThat(count).hasValue(1));
  }
}
