package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.Headers;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/** Usage tests of upstreams that turn requests away and say when they want the next ones. */
public class PausingUpstreamUsageTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final long PAUSE_MILLIS = 2_000;

  /** Time after the refusal within which requests may still arrive. */
  private static final long IN_FLIGHT_MILLIS = 500;

  /** Requests that may arrive between that time and the end of the pause. */
  private static final int ALLOWED_ARRIVALS = 2;

  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());

  private record Arrival(String upstream, long atNanos) {}

  private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
  private volatile String pausing = "";
  private volatile long refusedAtNanos;
  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;

  @BeforeMethod
  public void startGateway() throws Exception {
    pausing = "none";
    refusedAtNanos = 0;
    gateway = new LocalGateway();
    upstreams = new ScriptedUpstreams(gateway, "desk", 2, this::answer);
    gateway.awaitServing();
    LocalGateway.await(() -> sendUntilServedBy("desk0") && sendUntilServedBy("desk1"));
    arrivals.clear();
  }

  @AfterMethod(alwaysRun = true)
  public void stopGateway() throws Exception {
    upstreams.close();
    gateway.close();
  }

  private boolean sendUntilServedBy(String upstream) {
    send().join();
    return arrivals.stream().anyMatch(arrival -> arrival.upstream().equals(upstream));
  }

  /** Refuses while the upstream pauses; the time of the first refusal begins the pause. */
  private void answer(Exchange exchange) throws IOException {
    long now = System.nanoTime();
    arrivals.add(new Arrival(exchange.upstream(), now));
    if (!exchange.upstream().startsWith(pausing)) {
      exchange.writeAnswer(200, "ok");
      return;
    }
    if (refusedAtNanos == 0) {
      refusedAtNanos = now;
    }
    long leftMillis = PAUSE_MILLIS - TimeUnit.NANOSECONDS.toMillis(now - refusedAtNanos);
    if (leftMillis <= 0) {
      exchange.writeAnswer(200, "ok");
    } else {
      exchange.writeHead(
          503, "X-Not-Run: 1", "Retry-After: " + leftMillis / 1_000.0, "Content-Length: 0");
    }
  }

  private CompletableFuture<HttpResponse> send() {
    return client.send(gateway.request(0, "/repeatable/x"), TIMEOUT);
  }

  private List<HttpResponse> sendFor(long millis) {
    List<CompletableFuture<HttpResponse>> responses = new ArrayList<>();
    long startNanos = System.nanoTime();
    while (System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(millis)) {
      responses.add(send());
      LocalFleet.sleep(10);
    }
    return responses.stream().map(CompletableFuture::join).toList();
  }

  private long arrivalsDuringPause(String upstream) {
    long fromNanos = refusedAtNanos + TimeUnit.MILLISECONDS.toNanos(IN_FLIGHT_MILLIS);
    long toNanos = refusedAtNanos + TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLIS);
    return arrivals.stream()
        .filter(arrival -> arrival.upstream().equals(upstream))
        .filter(arrival -> arrival.atNanos() > fromNanos && arrival.atNanos() < toNanos)
        .count();
  }

  @DataProvider
  public Object[][] controls() {
    return new Object[][] {{true}, {false}};
  }

  /** Guards against requests to an upstream that has asked the router for a pause. */
  @Test(dataProvider = "controls")
  public void shouldSendNothingDuringThePause(boolean hasControls) throws Exception {
    if (!hasControls) {
      gateway.closeControls();
    }
    pausing = "desk0";
    List<HttpResponse> responses = sendFor(PAUSE_MILLIS + 1_000);
    assertThat(refusedAtNanos).isNotZero();
    assertThat(arrivalsDuringPause("desk0")).isLessThanOrEqualTo(ALLOWED_ARRIVALS);
    assertThat(responses).allMatch(response -> response.status() == 200);
    long afterPause = refusedAtNanos + TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLIS);
    assertThat(arrivals)
        .as("the upstream is used again")
        .anyMatch(a -> a.upstream().equals("desk0") && a.atNanos() > afterPause);
  }

  /** Guards against callers that are told to return while all upstreams still pause. */
  @Test
  public void shouldRefuseAtOnceUntilAPauseEnds() {
    pausing = "desk";
    sendFor(300);
    long startNanos = System.nanoTime();
    HttpResponse refused = send().join();
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    assertThat(refused.status()).isEqualTo(503);
    assertThat(millis).isLessThan(LocalGateway.TARGET_MILLIS / 4);
    double retryAfterMillis =
        1_000 * Double.parseDouble(refused.header(Headers.RETRY_AFTER_STRING).orElseThrow());
    long leftMillis =
        PAUSE_MILLIS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - refusedAtNanos);
    assertThat(retryAfterMillis).isGreaterThanOrEqualTo(leftMillis - 10);
    LocalFleet.sleep((int) retryAfterMillis);
    assertThat(send().join().status()).isEqualTo(200);
  }

  /** Guards against a load that comes back all at once when the pauses end. */
  @Test
  public void shouldComeBackInSteps() {
    pausing = "desk";
    sendFor(PAUSE_MILLIS - 100);
    long endNanos = refusedAtNanos + TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLIS);
    while (System.nanoTime() < endNanos + TimeUnit.MILLISECONDS.toNanos(20)) {
      LocalFleet.sleep(1);
    }
    arrivals.clear();
    List<CompletableFuture<HttpResponse>> burst = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      burst.add(send());
    }
    burst.forEach(CompletableFuture::join);
    assertThat(arrivals.size()).as("of 40 requests right after the pauses").isBetween(1, 10);
  }
}
