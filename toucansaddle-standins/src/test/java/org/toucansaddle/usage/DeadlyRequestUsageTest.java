package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.Headers;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.usage.CrashingUpstreams.Restart;

/**
 * Usage tests of one whole request that crashes each upstream that begins to run it and comes again
 * under other ids at other routers, beside sound requests that share parts of its prompt.
 */
public class DeadlyRequestUsageTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int ROUTERS = 3;

  /** Upstreams, of which the deadly request leaves some running. */
  private static final int UPSTREAMS = 5;

  private static final long DOWN_MILLIS = 2_000;

  /** Time after the third crash from which no router may send the request to an upstream. */
  private static final long SPREAD_MILLIS = 3_000;

  /** Pause between the deadly requests, so that their crashes count as independent ones. */
  private static final long PAUSE_MILLIS = 400;

  private static final int LEAVES_AFTER_MILLIS = 100;

  /** Times that the request may reach upstreams later than that, as the operators allow it. */
  private static final int MAX_LATE_ARRIVALS = 3;

  private static final String DEADLY_PROMPT = "system:10,subject:20,own:5";

  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
  private final AtomicInteger requests = new AtomicInteger();
  private LocalGateway gateway;
  private CrashingUpstreams upstreams;

  @BeforeMethod
  public void startGateway() throws Exception {
    gateway = new LocalGateway(LocalGateway::parseDocument, ROUTERS);
    gateway.awaitServing();
    upstreams = new CrashingUpstreams(gateway, UPSTREAMS, Restart.NEW_ID, DOWN_MILLIS);
    for (int router = 0; router < ROUTERS; router++) {
      int index = router;
      LocalGateway.await(() -> sendSound(index, "/once/", "system:10").status() == 200);
    }
  }

  @AfterMethod(alwaysRun = true)
  public void stopGateway() throws Exception {
    upstreams.close();
    gateway.close();
  }

  /** Sends the deadly request, whose path, account and body are always the same. */
  private HttpResponse sendDeadly(int router, String route) {
    return send(router, route + "crash", "same body", DEADLY_PROMPT);
  }

  /** Sends a sound request that is equal to no other. */
  private HttpResponse sendSound(int router, String route, String sharedParts) {
    int number = requests.incrementAndGet();
    return send(router, route + number, "body " + number, sharedParts + ",own" + number + ":5");
  }

  private HttpResponse send(int router, String path, String body, String parts) {
    HttpRequest request =
        HttpRequest.post(gateway.callerAddress(router), path, body)
            .withHeader(Headers.HOST_STRING, LocalGateway.HOST)
            .withHeader("X-Request-Id", "r" + requests.incrementAndGet())
            .withHeader("X-Api-Key", LocalGateway.API_KEY)
            .withHeader(CrashingUpstreams.PROMPT_PARTS, parts);
    return client.send(request, TIMEOUT).join();
  }

  private void assertServedEverywhere(String route, String sharedParts) {
    for (int router = 0; router < ROUTERS; router++) {
      HttpResponse response = sendSound(router, route, sharedParts);
      assertThat(response.status()).as("%s: %s", sharedParts, response.text()).isEqualTo(200);
    }
  }

  private void sendDeadlyUntilThreeCrashes(String route) throws InterruptedException {
    for (int i = 0; upstreams.crashes() < 3; i++) {
      sendDeadly(i % ROUTERS, route);
      assertServedEverywhere(route, "system:10");
      Thread.sleep(PAUSE_MILLIS);
    }
  }

  @DataProvider
  public Object[][] differences() {
    return new Object[][] {
      {"/once/x", CrashingUpstreams.DEADLY_QUERY, "part=100"},
      {"/repeatable/x", CrashingUpstreams.DEADLY_QUERY, ""},
      {"/repeatable/x", CrashingUpstreams.DEADLY_QUERY, "part=17&page=2"},
    };
  }

  /** Guards against sound requests with another query that clear the strikes of a deadly one. */
  @Test(dataProvider = "differences")
  public void shouldRefuseRequestBesideSoundOnesWithAnotherQuery(
      String path, String deadlyQuery, String soundQuery) throws Exception {
    String deadly = path + "?" + deadlyQuery;
    String sound = soundQuery.isEmpty() ? path : path + "?" + soundQuery;
    for (int i = 0; upstreams.crashes() < 3; i++) {
      send(i % ROUTERS, deadly, "same body", "");
      for (int router = 0; router < ROUTERS; router++) {
        int index = router;
        LocalGateway.await(() -> send(index, sound, "same body", "").status() == 200);
      }
      Thread.sleep(PAUSE_MILLIS);
    }
    Thread.sleep(SPREAD_MILLIS);
    int crashes = upstreams.crashes();
    for (int i = 0; i < 2 * ROUTERS; i++) {
      HttpResponse response = send(i % ROUTERS, deadly, "same body", "");
      assertThat(response.text()).contains("quarantined").contains("not-run");
      assertThat(send(i % ROUTERS, sound, "same body", "").status()).isEqualTo(200);
    }
    assertThat(upstreams.crashes()).isEqualTo(crashes);
  }

  /** Sends a request and leaves before there can be an answer. */
  private void sendAndLeave(int router, String path) throws Exception {
    String[] hostAndPort = gateway.callerAddress(router).split(":");
    try (Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]))) {
      String head =
          "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: left%d\r\nX-Api-Key: %s\r\n\r\n"
              .formatted(path, LocalGateway.HOST, requests.incrementAndGet(), LocalGateway.API_KEY);
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      Thread.sleep(LEAVES_AFTER_MILLIS);
    }
  }

  /** Sends sound requests of several routers until upstreams that crashed were noticed. */
  private void sendSoundRequests() throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLIS * 3);
    while (System.nanoTime() - endNanos < 0) {
      for (int router = 0; router < ROUTERS; router++) {
        sendSound(router, "/repeatable/", "system:10");
      }
    }
  }

  /** Guards against a request that is never refused since its callers leave before each crash. */
  @Test(dataProvider = "routes")
  public void shouldRefuseRequestWhoseCallersLeaveBeforeItCrashesUpstreams(String route)
      throws Exception {
    String path = route + "x" + CrashingUpstreams.LATE_CRASH;
    for (int i = 0; upstreams.crashes() < 3; i++) {
      sendAndLeave(i % ROUTERS, path);
      sendSoundRequests();
    }
    Thread.sleep(SPREAD_MILLIS);
    int crashes = upstreams.crashes();
    for (int i = 0; i < 4 * ROUTERS; i++) {
      sendAndLeave(i % ROUTERS, path);
      sendSoundRequests();
    }
    assertThat(upstreams.crashes() - crashes).isLessThanOrEqualTo(MAX_LATE_ARRIVALS);
  }

  /** Guards against a sound request that is refused since callers left it before other crashes. */
  @Test
  public void shouldServeRequestThatManyCallersLeaveWhileOthersCrashUpstreams() throws Exception {
    String popular = "/repeatable/popular" + CrashingUpstreams.SLOW;
    for (int i = 0; upstreams.crashes() < 5; i++) {
      for (int router = 0; router < ROUTERS; router++) {
        sendAndLeave(router, popular);
        assertThat(send(router, popular, "same body", "").text()).doesNotContain("quarantined");
      }
      send(i % ROUTERS, "/once/" + i + "/crash", "body " + i, "own" + i + ":5");
      sendSoundRequests();
    }
    for (int router = 0; router < ROUTERS; router++) {
      assertThat(send(router, popular, "", "").text()).doesNotContain("quarantined");
    }
  }

  @DataProvider
  public Object[][] routes() {
    return new Object[][] {{"/once/"}, {"/repeatable/"}, {"/stream-once/"}, {"/stream/"}};
  }

  /**
   * Guards against routers that send the request on when it comes again, and against a quarantine
   * that refuses all requests with a part of its prompt.
   */
  @Test(dataProvider = "routes")
  public void shouldRefuseRequestThatComesAgainAndServeOthersWithItsParts(String route)
      throws Exception {
    sendDeadlyUntilThreeCrashes(route);
    assertServedEverywhere(route, "system:10,subject:20");
    Thread.sleep(SPREAD_MILLIS);
    int crashes = upstreams.crashes();
    for (int i = 0; i < 2 * ROUTERS; i++) {
      HttpResponse response = sendDeadly(i % ROUTERS, route);
      assertThat(response.status()).as(response.text()).isEqualTo(503);
      assertThat(response.text()).contains("quarantined").contains("not-run");
    }
    assertThat(upstreams.crashes()).isEqualTo(crashes);
    assertServedEverywhere(route, "system:10,subject:20");
  }
}
