package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/**
 * Soak of upstreams that name limits, ask for pauses and leave, in turn and together, while routers
 * and control daemons restart.
 *
 * <p>The seed decides what the upstreams say and what restarts. {@code -Dsoak.firstSeed=100
 * -Dsoak.seeds=50} runs other seeds than the few of the build.
 */
public class UpstreamNoticeSoakTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int RUN_MILLIS = 20_000;
  private static final int UPSTREAMS = 4;
  private static final int CALLERS_PER_ROUTER = 2;
  private static final int SEND_PAUSE_MILLIS = 25;
  private static final int MAX_EVENT_PAUSE_MILLIS = 1_500;
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long WINDOW_NANOS = 4 * SECOND_NANOS;

  /** Time after the first response with a limit, or a restart, from which a limit has to hold. */
  private static final long ADAPTATION_NANOS = 3 * SECOND_NANOS;

  /** Time for requests that were on their way when a response said what it says. */
  private static final long IN_FLIGHT_NANOS = SECOND_NANOS / 2;

  private static final int ALLOWED_DURING_PAUSE = 2;

  @DataProvider
  public Object[][] seeds() {
    int first = Integer.getInteger("soak.firstSeed", 1);
    return IntStream.range(first, first + Integer.getInteger("soak.seeds", 3))
        .mapToObj(seed -> new Object[] {seed})
        .toArray(Object[][]::new);
  }

  /** Guards against requests that upstreams have said they do not take, around restarts. */
  @Test(dataProvider = "seeds")
  public void shouldHeedWhatUpstreamsSay(int seed) throws Exception {
    try (Soak soak = new Soak(seed)) {
      soak.run();
      soak.check();
    }
  }

  /** A request at an upstream, and what the response said. */
  private record Arrival(int router, long atNanos, double limit, long pauseMillis, boolean leaves) {

    boolean namesLimit() {
      return limit > 0;
    }
  }

  /** Time in which a router was stopped and started. */
  private record Outage(int router, long startNanos, long endNanos) {}

  /** What one upstream says; changed by the thread of the soak, read by those that answer. */
  private static final class Behaviour {
    private volatile double limit;
    private volatile long pauseUntilNanos;
    private volatile boolean leaves;
    private final Collection<Arrival> arrivals = new ConcurrentLinkedQueue<>();

    Arrival record(int router) {
      long now = System.nanoTime();
      long pauseMillis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(pauseUntilNanos - now));
      Arrival arrival = new Arrival(router, now, limit, pauseMillis, leaves);
      arrivals.add(arrival);
      return arrival;
    }

    List<Arrival> inOrder() {
      return arrivals.stream()
          .sorted((a, b) -> Long.compare(a.atNanos() - b.atNanos(), 0))
          .toList();
    }
  }

  /** One run. */
  private static final class Soak implements AutoCloseable {
    private final int seed;
    private final Random random;
    private final int routers;
    private final LocalGateway gateway;
    private final ScriptedUpstreams upstreams;
    private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
    private final Map<String, Behaviour> behaviours = new ConcurrentHashMap<>();
    private final List<String> ready = new ArrayList<>();
    private final Collection<Outage> outages = new ConcurrentLinkedQueue<>();
    private final Collection<HttpResponse> responses = new ConcurrentLinkedQueue<>();
    private final List<Thread> callers = new ArrayList<>();
    private volatile boolean ended;
    private int started;

    Soak(int seed) throws Exception {
      this.seed = seed;
      this.random = new Random(seed);
      this.routers = 2 + random.nextInt(4);
      this.gateway = new LocalGateway(LocalGateway::parseDocument, routers);
      this.upstreams = new ScriptedUpstreams(gateway, this::answer);
      gateway.awaitServing();
      for (int index = 0; index < UPSTREAMS; index++) {
        startUpstream();
      }
      for (int router = 0; router < routers; router++) {
        int index = router;
        LocalGateway.await(() -> send(index).status() == 200);
      }
    }

    private void startUpstream() throws IOException {
      String id = "u" + started++;
      behaviours.put(id, new Behaviour());
      ready.add(id);
      upstreams.start(id, "desk", "");
    }

    private void answer(Exchange exchange) throws IOException {
      int router = Integer.parseInt(exchange.header("X-Router"));
      Arrival arrival = behaviours.get(exchange.upstream()).record(router);
      List<String> fields = new ArrayList<>();
      if (arrival.namesLimit()) {
        fields.add("X-Rate-Limit: " + arrival.limit());
      }
      if (arrival.leaves()) {
        fields.add("X-Leaving: 1");
      }
      if (arrival.pauseMillis() > 0) {
        fields.add("X-Not-Run: 1");
        fields.add(
            String.format(Locale.ROOT, "Retry-After: %.3f", arrival.pauseMillis() / 1_000.0));
      }
      fields.add("Content-Length: 0");
      exchange.writeHead(arrival.pauseMillis() > 0 ? 503 : 200, fields.toArray(new String[0]));
    }

    private HttpResponse send(int router) {
      HttpRequest request =
          gateway.request(router, "/repeatable/x").withHeader("X-Router", Integer.toString(router));
      return client.send(request, TIMEOUT).join();
    }

    void run() throws Exception {
      for (int caller = 0; caller < routers * CALLERS_PER_ROUTER; caller++) {
        int router = caller % routers;
        callers.add(new Thread(() -> call(router)));
      }
      callers.forEach(Thread::start);
      long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RUN_MILLIS);
      while (System.nanoTime() - endNanos < 0) {
        disturb();
        LocalFleet.sleep(random.nextInt(MAX_EVENT_PAUSE_MILLIS));
      }
      ended = true;
      for (Thread caller : callers) {
        caller.join();
      }
    }

    private void call(int router) {
      while (!ended) {
        try {
          responses.add(send(router));
        } catch (RuntimeException e) {
          // The router is stopped at the moment; its callers try again.
          LocalFleet.sleep(SEND_PAUSE_MILLIS);
        }
        LocalFleet.sleep(SEND_PAUSE_MILLIS);
      }
    }

    private void disturb() throws Exception {
      String id = ready.get(random.nextInt(ready.size()));
      Behaviour behaviour = behaviours.get(id);
      switch (random.nextInt(8)) {
        case 0, 1, 2 -> behaviour.limit = behaviour.limit > 0 ? 0 : 0.5 + 7 * random.nextDouble();
        case 3, 4 -> behaviour.pauseUntilNanos = System.nanoTime() + pauseNanos();
        case 5 -> {
          behaviour.leaves = true;
          ready.remove(id);
          startUpstream();
        }
        case 6 -> restartRouter(random.nextInt(routers));
        default -> gateway.restartControls();
      }
    }

    private long pauseNanos() {
      return TimeUnit.MILLISECONDS.toNanos(800 + random.nextInt(2_500));
    }

    private void restartRouter(int router) throws Exception {
      long startNanos = System.nanoTime();
      gateway.restartRouter(router);
      LocalGateway.await(() -> gateway.router(router).isReady());
      outages.add(new Outage(router, startNanos, System.nanoTime()));
    }

    void check() {
      assertThat(responses).as("seed %s", seed).extracting(HttpResponse::status).contains(200);
      assertThat(responses)
          .as("seed %s: responses", seed)
          .allMatch(response -> response.status() == 200 || response.status() == 503);
      behaviours.forEach(
          (id, behaviour) -> {
            List<Arrival> arrivals = behaviour.inOrder();
            checkLimit(id, arrivals);
            for (int index = 0; index < arrivals.size(); index++) {
              checkAfter(id, arrivals, index);
            }
          });
    }

    /** Checks what a router sends after a response that said that the upstream leaves or pauses. */
    private void checkAfter(String id, List<Arrival> arrivals, int index) {
      Arrival notice = arrivals.get(index);
      long pauseEnd = notice.atNanos() + TimeUnit.MILLISECONDS.toNanos(notice.pauseMillis());
      if (!notice.leaves() && notice.pauseMillis() == 0) {
        return;
      }
      List<Arrival> later =
          arrivals.subList(index + 1, arrivals.size()).stream()
              .filter(arrival -> arrival.router() == notice.router())
              .filter(arrival -> arrival.atNanos() - notice.atNanos() > IN_FLIGHT_NANOS)
              .filter(arrival -> !restarted(notice.router(), notice.atNanos(), arrival.atNanos()))
              .toList();
      if (notice.leaves()) {
        assertThat(later).as("seed %s: %s leaves", seed, id).isEmpty();
      }
      assertThat(later.stream().filter(arrival -> arrival.atNanos() - pauseEnd < 0))
          .as("seed %s: %s pauses", seed, id)
          .hasSizeLessThanOrEqualTo(ALLOWED_DURING_PAUSE);
    }

    private boolean restarted(int router, long fromNanos, long toNanos) {
      return outages.stream()
          .anyMatch(
              outage ->
                  outage.router() == router
                      && outage.endNanos() - fromNanos >= 0
                      && outage.startNanos() - toNanos <= 0);
    }

    /** Checks each window in which the upstream named the same limit for long enough. */
    private void checkLimit(String id, List<Arrival> arrivals) {
      long namedSince = 0;
      double limit = 0;
      List<Arrival> window = new ArrayList<>();
      for (Arrival arrival : arrivals) {
        if (arrival.limit() != limit) {
          limit = arrival.limit();
          namedSince = arrival.atNanos();
          window.clear();
        }
        boolean counts =
            limit > 0
                && arrival.atNanos() - namedSince > ADAPTATION_NANOS
                && !restarted(
                    arrival.router(), arrival.atNanos() - ADAPTATION_NANOS, arrival.atNanos());
        if (counts) {
          window.add(arrival);
          window.removeIf(earlier -> arrival.atNanos() - earlier.atNanos() > WINDOW_NANOS);
          assertThat(window)
              .as("seed %s: %s, limit %s a second", seed, id, limit)
              .hasSizeLessThanOrEqualTo((int) (1.5 * limit * 4 + 5));
        }
      }
    }

    @Override
    public void close() throws Exception {
      ended = true;
      upstreams.close();
      gateway.close();
      client.close();
    }
  }
}
