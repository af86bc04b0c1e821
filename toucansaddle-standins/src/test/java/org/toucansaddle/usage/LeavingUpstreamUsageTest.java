package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/** Usage tests of an upstream that says in its responses that it leaves, while it reports ready. */
public class LeavingUpstreamUsageTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final String LEAVING = "desk0";

  /** Time until all daemons know what an upstream said in a response to one router. */
  private static final int SPREAD_MILLIS = 1_500;

  private static final int REQUESTS = 30;

  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
  private final List<String> arrivals = new CopyOnWriteArrayList<>();
  private volatile boolean leaves;
  private volatile int statusOfLeaving;
  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;

  @BeforeMethod
  public void startGateway() throws Exception {
    leaves = false;
    statusOfLeaving = 200;
    gateway = new LocalGateway();
    upstreams = new ScriptedUpstreams(gateway, "desk", 2, this::answer);
    gateway.awaitServing();
    for (int router = 0; router < 2; router++) {
      awaitServedBy(router, "desk0");
      awaitServedBy(router, "desk1");
    }
  }

  @AfterMethod(alwaysRun = true)
  public void stopGateway() throws Exception {
    upstreams.close();
    gateway.close();
  }

  private void awaitServedBy(int router, String upstream) throws InterruptedException {
    LocalGateway.await(
        () -> {
          arrivals.clear();
          send(router);
          return arrivals.contains(upstream);
        });
  }

  private void answer(Exchange exchange) throws IOException {
    arrivals.add(exchange.upstream());
    boolean isLeaving = leaves && exchange.upstream().equals(LEAVING);
    List<String> fields = new ArrayList<>();
    if (isLeaving) {
      fields.add("X-Leaving: 1");
    }
    if (exchange.path().startsWith("/stream")) {
      fields.add("Transfer-Encoding: chunked");
      exchange.writeHead(200, fields.toArray(new String[0]));
      exchange.writeChunk("id: 1\ndata: a\n\n");
      exchange.pause(SPREAD_MILLIS);
      exchange.writeChunk("id: 2\ndata: b\n\n");
      exchange.writeChunk("");
    } else {
      int status = isLeaving ? statusOfLeaving : 200;
      if (status == 503) {
        fields.add("X-Not-Run: 1");
      }
      fields.add("Content-Length: 2");
      exchange.writeHead(status, fields.toArray(new String[0]));
      exchange.write("ok");
    }
  }

  private HttpResponse send(int router) {
    return client.send(gateway.request(router, "/repeatable/x"), TIMEOUT).join();
  }

  /** Lets a router receive a response that says that the upstream leaves. */
  private void letRouterReceiveNotice(int router) throws InterruptedException {
    leaves = true;
    awaitServedBy(router, LEAVING);
    arrivals.clear();
  }

  private void assertNothingIsSentToLeaving(int router) {
    for (int i = 0; i < REQUESTS; i++) {
      assertThat(send(router).status()).isEqualTo(200);
    }
    assertThat(arrivals).doesNotContain(LEAVING);
  }

  @DataProvider
  public Object[][] statuses() {
    return new Object[][] {{200}, {500}, {503}};
  }

  /** Guards against a router that is cut off and sends to an upstream that says that it leaves. */
  @Test(dataProvider = "statuses")
  public void shouldSendNothingMoreWithoutControlDaemons(int status) throws Exception {
    statusOfLeaving = status;
    gateway.closeControls();
    letRouterReceiveNotice(0);
    assertNothingIsSentToLeaving(0);
  }

  /** Guards against other routers that each find out by a request of their own. */
  @Test
  public void shouldTellOtherRouters() throws Exception {
    letRouterReceiveNotice(0);
    LocalFleet.sleep(SPREAD_MILLIS);
    assertNothingIsSentToLeaving(1);
    upstreams.start("desk2", "desk", "");
    awaitServedBy(1, "desk2");
    arrivals.clear();
    assertNothingIsSentToLeaving(0);
    assertNothingIsSentToLeaving(1);
  }

  /** Guards against streams that end with the drain of their upstream. */
  @Test
  public void shouldLetStreamsRunToTheirEnd() throws Exception {
    leaves = true;
    List<StreamCaller> callers = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      String address = gateway.callerAddress(0);
      StreamCaller caller =
          new StreamCaller(address, "/stream/x", Map.of("X-Request-Id", "stream" + i));
      callers.add(caller);
      caller.readEvent(1);
    }
    assertThat(arrivals).contains(LEAVING);
    for (StreamCaller caller : callers) {
      caller.readToEnd();
      assertThat(caller.status()).isEqualTo(200);
      assertThat(caller.isComplete()).as(caller.body()).isTrue();
      caller.close();
    }
  }
}
