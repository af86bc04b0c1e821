package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.Headers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.usage.CrashingUpstreams.Restart;

/** Usage tests of a request that crashes each upstream that runs it and is sent repeatedly. */
public class QuarantineUsageTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  /** Time after the third crash from which no router may send the request to an upstream. */
  private static final long SPREAD_MILLIS = 3_000;

  /** Largest time after which a caller may be asked to send the request again. */
  private static final double QUARANTINE_SECONDS = 600;

  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
  private LocalGateway gateway;
  private CrashingUpstreams upstreams;

  @BeforeMethod
  public void startGateway() throws Exception {
    gateway = new LocalGateway();
    gateway.awaitServing();
  }

  @AfterMethod(alwaysRun = true)
  public void stopGateway() throws Exception {
    upstreams.close();
    gateway.close();
  }

  private void startUpstreams(int count, Restart restart) throws InterruptedException {
    upstreams = new CrashingUpstreams(gateway, count, restart);
    LocalGateway.await(() -> send(0, "/once/x").status() == 200);
    LocalGateway.await(() -> send(1, "/once/x").status() == 200);
  }

  private HttpResponse send(int router, String path) {
    return sendAsync(router, path).join();
  }

  private CompletableFuture<HttpResponse> sendAsync(int router, String path) {
    HttpRequest request =
        HttpRequest.post(gateway.callerAddress(router), path, "same body")
            .withHeader(Headers.HOST_STRING, LocalGateway.HOST)
            .withHeader("X-Request-Id", "r" + path.hashCode())
            .withHeader("X-Api-Key", LocalGateway.API_KEY);
    return client.send(request, TIMEOUT);
  }

  /** Sends the crashing request to one router after the other until it crashed three upstreams. */
  private void crashThreeUpstreams(String path) throws InterruptedException {
    for (int router = 0; upstreams.crashes() < 3; router = 1 - router) {
      send(router, path);
    }
    Thread.sleep(SPREAD_MILLIS);
  }

  /** Sends the crashing request to all routers and checks that it is refused everywhere. */
  private void assertQuarantinedEverywhere(String path) {
    int crashes = upstreams.crashes();
    for (int i = 0; i < 6; i++) {
      HttpResponse response = send(i % 2, path);
      assertThat(upstreams.crashes()).as("crashes, request %s", i).isEqualTo(crashes);
      assertThat(response.status()).as(response.text()).isEqualTo(503);
      assertThat(response.text()).contains("quarantined");
      assertThat(response.header(Headers.RETRY_AFTER_STRING)).isPresent();
      double retryAfterSeconds = Double.parseDouble(response.header("Retry-After").get());
      assertThat(retryAfterSeconds).isBetween(1.0, QUARANTINE_SECONDS);
    }
  }

  /** Guards against routers that refuse a request only after they saw three crashes themselves. */
  @Test
  public void shouldRefuseRequestAtEveryRouterAfterItCrashedThreeUpstreams() throws Exception {
    startUpstreams(3, Restart.NEW_ID);
    crashThreeUpstreams("/repeatable/crash");
    assertQuarantinedEverywhere("/repeatable/crash");
    assertThat(send(0, "/repeatable/x").status()).isEqualTo(200);
  }

  /** Guards against counting an upstream once that starts again under its id after each crash. */
  @Test
  public void shouldCountEachCrashOfUpstreamThatStartsAgainUnderItsId() throws Exception {
    startUpstreams(2, Restart.SAME_ID);
    crashThreeUpstreams("/once/crash");
    assertQuarantinedEverywhere("/once/crash");
  }

  /**
   * Guards against an upstream's own failure that ends the quarantine at the router that got it.
   */
  @Test
  public void shouldStayInQuarantineWhenEqualRequestInFlightFails() throws Exception {
    startUpstreams(3, Restart.NEW_ID);
    upstreams.setHolding(true);
    CompletableFuture<HttpResponse> inFlight = sendAsync(0, "/once/crash");
    LocalGateway.await(() -> upstreams.heldRequests() == 1);
    upstreams.setHolding(false);
    crashThreeUpstreams("/once/crash");
    upstreams.answerHeldRequests(500);
    assertThat(inFlight.join().status()).isEqualTo(500);
    assertQuarantinedEverywhere("/once/crash");
  }

  /** Guards against strikes that outlive the proof that a request does not crash upstreams. */
  @Test
  public void shouldForgetStrikesAtEveryRouterWhenEqualRequestInFlightSucceeds() throws Exception {
    startUpstreams(3, Restart.NEW_ID);
    upstreams.setHolding(true);
    CompletableFuture<HttpResponse> inFlight = sendAsync(0, "/once/crash");
    LocalGateway.await(() -> upstreams.heldRequests() == 1);
    upstreams.setHolding(false);
    crashThreeUpstreams("/once/crash");
    upstreams.answerHeldRequests(200);
    assertThat(inFlight.join().status()).isEqualTo(200);
    Thread.sleep(SPREAD_MILLIS);
    upstreams.setHolding(true);
    CompletableFuture<HttpResponse> repeat = sendAsync(1, "/once/crash");
    LocalGateway.await(() -> upstreams.heldRequests() == 1);
    upstreams.answerHeldRequests(200);
    assertThat(repeat.join().status()).isEqualTo(200);
  }

  /** Guards against a quarantine that only running daemons remember: all of them lose power. */
  @Test
  public void shouldStayInQuarantineWhenAllDaemonsStartAgain() throws Exception {
    startUpstreams(3, Restart.NEW_ID);
    crashThreeUpstreams("/repeatable/crash");
    gateway.restartControls();
    gateway.restartRouter(0);
    gateway.restartRouter(1);
    LocalGateway.await(() -> send(0, "/once/x").status() == 200);
    LocalGateway.await(() -> send(1, "/once/x").status() == 200);
    assertQuarantinedEverywhere("/repeatable/crash");
  }

  /** Guards against a router that starts again and has forgotten the quarantine. */
  @Test
  public void shouldStayInQuarantineAtRouterThatStartsAgain() throws Exception {
    startUpstreams(3, Restart.NEW_ID);
    crashThreeUpstreams("/repeatable/crash");
    gateway.restartRouter(0);
    LocalGateway.await(() -> send(0, "/once/x").status() == 200);
    assertQuarantinedEverywhere("/repeatable/crash");
  }

  /** Guards against control daemons that lost their disks and are not told the strikes again. */
  @Test
  public void shouldStayInQuarantineWhenControlDaemonsLoseTheirDisksBeforeRouterStartsAgain()
      throws Exception {
    startUpstreams(3, Restart.NEW_ID);
    crashThreeUpstreams("/repeatable/crash");
    gateway.restartWithEmptyDisks(0, 1);
    Thread.sleep(SPREAD_MILLIS);
    gateway.restartWithEmptyDisks(2, 3);
    Thread.sleep(SPREAD_MILLIS);
    gateway.restartWithEmptyDisks(4);
    Thread.sleep(SPREAD_MILLIS);
    gateway.restartRouter(0);
    LocalGateway.await(() -> send(0, "/once/x").status() == 200);
    assertQuarantinedEverywhere("/repeatable/crash");
  }
}
