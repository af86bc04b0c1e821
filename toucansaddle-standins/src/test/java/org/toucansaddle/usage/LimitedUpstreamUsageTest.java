package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.Headers;
import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/** Usage tests of upstreams that name, in their responses, how many requests a second they take. */
public class LimitedUpstreamUsageTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  /** Time after the first response with a limit from which the limit has to be kept. */
  private static final long ADAPTATION_NANOS = Duration.ofSeconds(3).toNanos();

  private static final long WINDOW_NANOS = Duration.ofSeconds(4).toNanos();
  private static final long OBSERVED_NANOS = ADAPTATION_NANOS + Duration.ofSeconds(6).toNanos();

  /** Time until all routers know of a response, by their reports and those of control daemons. */
  private static final int SPREAD_MILLIS = 2_000;

  private static final double ALLOWED_RATIO = 1.5;
  private static final int ALLOWED_EXCESS = 5;

  /** Pause between two requests at one router; 50 a second. */
  private static final int PAUSE_MILLIS = 20;

  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
  private final Map<String, Collection<Long>> arrivals = new ConcurrentHashMap<>();
  private final AtomicInteger served = new AtomicInteger();
  private final Collection<HttpResponse> refusals = new ConcurrentLinkedQueue<>();
  private volatile double limit;
  private volatile int limitedUpstreams;
  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;

  private void startGateway(int routers, int upstreamCount) throws Exception {
    arrivals.clear();
    refusals.clear();
    served.set(0);
    limitedUpstreams = 0;
    gateway = new LocalGateway(LocalGateway::parseDocument, routers);
    upstreams = new ScriptedUpstreams(gateway, upstreamCount, this::answer);
    gateway.awaitServing();
    for (int router = 0; router < routers; router++) {
      int index = router;
      LocalGateway.await(() -> send(index).status() == 200);
    }
  }

  @AfterMethod(alwaysRun = true)
  public void stopGateway() throws Exception {
    upstreams.close();
    gateway.close();
  }

  private void answer(Exchange exchange) throws IOException {
    arrivals
        .computeIfAbsent(exchange.upstream(), id -> new ConcurrentLinkedQueue<>())
        .add(System.nanoTime());
    int index = Integer.parseInt(exchange.upstream().substring("desk".length()));
    if (index < limitedUpstreams) {
      exchange.writeHead(200, "X-Rate-Limit: " + limit, "Content-Length: 2");
    } else {
      exchange.writeHead(200, "Content-Length: 2");
    }
    exchange.write("ok");
  }

  private HttpResponse send(int router) {
    return client.send(gateway.request(router, "/repeatable/x"), TIMEOUT).join();
  }

  /** Sends at all routers for a time; {@code busyRouter} gets four times as many requests. */
  private void load(int routers, int busyRouter, long nanos) throws InterruptedException {
    List<Thread> callers =
        IntStream.range(0, routers + 3)
            .mapToObj(i -> new Thread(() -> loadRouter(i < routers ? i : busyRouter, nanos)))
            .toList();
    callers.forEach(Thread::start);
    for (Thread caller : callers) {
      caller.join();
    }
  }

  private void loadRouter(int router, long nanos) {
    long startNanos = System.nanoTime();
    while (System.nanoTime() - startNanos < nanos) {
      HttpResponse response = send(router);
      if (response.status() == 200) {
        served.incrementAndGet();
      } else {
        refusals.add(response);
      }
      LocalFleet.sleep(PAUSE_MILLIS);
    }
  }

  /** Returns the largest number of arrivals in a window that begins after the given time. */
  private int mostInWindow(String upstream, long fromNanos) {
    List<Long> times =
        arrivals.get(upstream).stream().filter(at -> at - fromNanos >= 0).sorted().toList();
    int most = 0;
    for (int first = 0, last = 0; last < times.size(); last++) {
      while (times.get(last) - times.get(first) > WINDOW_NANOS) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  private void assertLimitKept(long namedAtNanos, int limited) {
    double allowed = ALLOWED_RATIO * limit * WINDOW_NANOS / 1e9 + ALLOWED_EXCESS;
    for (int index = 0; index < limited; index++) {
      int most = mostInWindow("desk" + index, namedAtNanos + ADAPTATION_NANOS);
      assertThat(most)
          .as("requests in 4 s at a limit of %s a second, desk%s", limit, index)
          .isLessThanOrEqualTo((int) allowed);
    }
  }

  private void nameLimit(double requestsPerSecond, int upstreamCount) {
    limit = requestsPerSecond;
    limitedUpstreams = upstreamCount;
  }

  @DataProvider
  public Object[][] limits() {
    return new Object[][] {
      // routers, limit in requests a second
      {2, 5.8},
      {2, 0.5},
      {4, 4.4},
    };
  }

  /** Guards against routers that send an upstream far more requests than it says that it takes. */
  @Test(dataProvider = "limits")
  public void shouldKeepLimitOfUpstreamsOverAllRouters(int routers, double requestsPerSecond)
      throws Exception {
    startGateway(routers, 3);
    nameLimit(requestsPerSecond, 2);
    long namedAtNanos = System.nanoTime();
    load(routers, 0, OBSERVED_NANOS);
    assertLimitKept(namedAtNanos, 2);
    assertThat(refusals).as("refused although one upstream has no limit").isEmpty();
  }

  /** Guards against routers that each take the whole limit once they cannot reach the others. */
  @Test
  public void shouldKeepLimitWithoutControlDaemons() throws Exception {
    startGateway(4, 3);
    LocalFleet.sleep(SPREAD_MILLIS);
    gateway.closeControls();
    nameLimit(4.4, 2);
    long namedAtNanos = System.nanoTime();
    load(4, 0, OBSERVED_NANOS);
    assertLimitKept(namedAtNanos, 2);
  }

  /** Guards against requests that are held or repeated while all upstreams are at their limits. */
  @Test
  public void shouldRefuseAtOnceWhatLimitsOfAllUpstreamsExceed() throws Exception {
    startGateway(2, 2);
    nameLimit(5, 2);
    long namedAtNanos = System.nanoTime();
    load(2, 0, OBSERVED_NANOS);
    assertLimitKept(namedAtNanos, 2);
    assertThat(refusals).isNotEmpty();
    for (HttpResponse refusal : refusals) {
      assertThat(refusal.status()).as(refusal.text()).isEqualTo(503);
      assertThat(refusal.header(Headers.RETRY_AFTER_STRING)).isPresent();
    }
    double seconds = OBSERVED_NANOS / 1e9;
    assertThat(served.get()).as("served in %s s", seconds).isGreaterThan((int) (5 * seconds));
  }

  /** Guards against a limit that outlives the need of the upstream that named it. */
  @Test
  public void shouldUseUpstreamsInFullOnceTheyNameNoLimit() throws Exception {
    startGateway(2, 2);
    nameLimit(2, 2);
    load(2, 0, Duration.ofSeconds(4).toNanos());
    limitedUpstreams = 0;
    load(2, 0, Duration.ofMillis(SPREAD_MILLIS).toNanos());
    refusals.clear();
    load(2, 0, Duration.ofSeconds(2).toNanos());
    assertThat(refusals).isEmpty();
  }
}
