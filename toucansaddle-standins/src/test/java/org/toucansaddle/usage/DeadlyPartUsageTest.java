package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.Headers;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
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
 * Usage tests of requests of which no two are equal, and that crash each upstream by one part of
 * their prompts.
 */
public class DeadlyPartUsageTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  /** Time after the fifth crash from which no more than three of the requests are sent on. */
  private static final long SPREAD_MILLIS = 3_000;

  private static final int CRASHES = 5;
  private static final int MAX_LATE_CRASHES = 3;

  /** Pause between requests, in which upstreams that start again report themselves. */
  private static final long PAUSE_MILLIS = 400;

  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
  private final AtomicInteger requests = new AtomicInteger();
  private LocalGateway gateway;
  private CrashingUpstreams upstreams;

  @BeforeMethod
  public void startGateway() throws Exception {
    gateway = new LocalGateway();
    gateway.awaitServing();
    upstreams = new CrashingUpstreams(gateway, 5, Restart.NEW_ID);
    awaitServed(0, "/once/", "system:10");
    awaitServed(1, "/once/", "system:10");
  }

  @AfterMethod(alwaysRun = true)
  public void stopGateway() throws Exception {
    upstreams.close();
    gateway.close();
  }

  /** Sends a request that is equal to no other; the last part of its prompt is its own. */
  private HttpResponse send(int router, String route, String sharedParts) {
    int number = requests.incrementAndGet();
    HttpRequest request =
        HttpRequest.post(gateway.callerAddress(router), route + number, "body " + number)
            .withHeader(Headers.HOST_STRING, LocalGateway.HOST)
            .withHeader("X-Request-Id", "r" + number)
            .withHeader("X-Api-Key", LocalGateway.API_KEY)
            .withHeader(CrashingUpstreams.PROMPT_PARTS, sharedParts + ",own" + number + ":5");
    return client.send(request, TIMEOUT).join();
  }

  private void sendUntilFiveCrashes(String route, String... deadlyPrompts) throws Exception {
    for (int i = 0; upstreams.crashes() < CRASHES && i < 40; i++) {
      send(i % 2, route, deadlyPrompts[i % deadlyPrompts.length]);
      Thread.sleep(PAUSE_MILLIS);
    }
    Thread.sleep(SPREAD_MILLIS);
  }

  private void sendUntilRefused(String prompt) throws Exception {
    for (int i = 0; i < CRASHES && send(i % 2, "/once/", prompt).status() != 503; i++) {
      Thread.sleep(PAUSE_MILLIS);
    }
  }

  private void assertRefusedEverywhere(String route, String prompt) throws Exception {
    for (int i = 0; i < 6; i++) {
      HttpResponse response = send(i % 2, route, prompt);
      assertThat(response.status()).as("%s: %s", prompt, response.text()).isEqualTo(503);
      assertThat(response.text()).contains("quarantined").contains("not-run");
      assertThat(response.header(Headers.RETRY_AFTER_STRING)).isPresent();
    }
  }

  private void awaitServed(int router, String route, String prompt) throws Exception {
    AtomicReference<String> last = new AtomicReference<>("");
    try {
      LocalGateway.await(
          () -> {
            HttpResponse response = send(router, route, prompt);
            last.set(response.text());
            return response.status() == 200;
          });
    } catch (AssertionError e) {
      throw new AssertionError("last response: " + last.get(), e);
    }
  }

  private void assertServedEverywhere(String route, String prompt) throws Exception {
    awaitServed(0, route, prompt);
    awaitServed(1, route, prompt);
    for (int i = 0; i < 6; i++) {
      HttpResponse response = send(i % 2, route, prompt);
      assertThat(response.status()).as("%s: %s", prompt, response.text()).isEqualTo(200);
    }
  }

  @DataProvider
  public Object[][] routes() {
    return new Object[][] {{"/once/"}, {"/repeatable/"}, {"/stream/"}};
  }

  /** Guards against a quarantine that knows whole requests only, of which no two are equal. */
  @Test(dataProvider = "routes")
  public void shouldRefuseRequestsWithDeadlyPartAndServeThoseWithTheirOtherParts(String route)
      throws Exception {
    sendUntilFiveCrashes(route, "system:10,subject:20,deadly:30");
    int crashes = upstreams.crashes();
    assertRefusedEverywhere(route, "system:10,subject:20,deadly:30");
    assertServedEverywhere(route, "system:10,subject:20");
    assertServedEverywhere(route, "system:10");
    assertRefusedEverywhere(route, "other:10,deadly:30");
    assertThat(upstreams.crashes() - crashes).isLessThanOrEqualTo(MAX_LATE_CRASHES);
  }

  /** Guards against two deadly parts at once of which one hides the other. */
  @Test
  public void shouldRefuseRequestsWithEitherOfTwoDeadlyParts() throws Exception {
    String first = "system:10,subject:20,deadly1:30";
    String second = "system:10,subject:20,deadly2:30";
    assertServedEverywhere("/once/", "system:10,subject:20");
    sendUntilFiveCrashes("/once/", first, second);
    sendUntilRefused(first);
    sendUntilRefused(second);
    assertRefusedEverywhere("/once/", first);
    assertRefusedEverywhere("/once/", second);
    assertServedEverywhere("/once/", "system:10,subject:20");
  }

  /** Guards against daemons that forget the deadly part when they start again. */
  @Test
  public void shouldRefuseRequestsWithDeadlyPartWhenAllDaemonsStartAgain() throws Exception {
    sendUntilFiveCrashes("/once/", "system:10,deadly:30");
    gateway.restartControls();
    gateway.restartRouter(0);
    gateway.restartRouter(1);
    assertServedEverywhere("/once/", "system:10");
    assertRefusedEverywhere("/once/", "system:10,deadly:30");
  }

  /** Guards against parts that are suspected because upstreams crash for another reason. */
  @Test
  public void shouldServeRequestsWithCommonPartAfterUpstreamsCrashedTogether() throws Exception {
    for (int i = 0; i < 5; i++) {
      sendCrashing("system:10,subject:20");
    }
    assertServedEverywhere("/once/", "system:10,subject:20");
  }

  private void sendCrashing(String sharedParts) {
    HttpRequest request =
        HttpRequest.post(gateway.callerAddress(0), "/once/crash", "body " + requests.get())
            .withHeader(Headers.HOST_STRING, LocalGateway.HOST)
            .withHeader("X-Request-Id", "r" + requests.incrementAndGet())
            .withHeader("X-Api-Key", LocalGateway.API_KEY)
            .withHeader(CrashingUpstreams.PROMPT_PARTS, sharedParts + ",own:5");
    client.send(request, TIMEOUT).join();
  }
}
