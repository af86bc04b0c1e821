package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.Headers;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.usage.CrashingUpstreams.Crash;
import org.toucansaddle.usage.CrashingUpstreams.Restart;

/**
 * Soak of requests that crash upstreams and come again and again, at any router, while routers and
 * control daemons restart, lose their disks and lose power in series: equal ones, and ones that
 * share only a part of their prompts.
 *
 * <p>The seed decides the sequence of restarts. {@code -Dsoak.firstSeed=100 -Dsoak.seeds=50} runs
 * other seeds than the few of the build.
 */
public class QuarantineSoakTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int RUN_MILLIS = 20_000;

  /** Time without a restart after which a router is expected to know what all others know. */
  private static final long STABLE_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Pause that lets few routers see three crashes themselves. */
  private static final int MAX_SEND_PAUSE_MILLIS = 800;

  /** One in so many times, equal requests are sent to several routers at once. */
  private static final int RARELY_TOGETHER = 8;

  private static final String SOUND_PARTS = "system:10,subject:20";

  private static final int MAX_RESTART_PAUSE_MILLIS = 2_500;

  /** Minimum pause between restarts of control daemons, so that some of the run is undisturbed. */
  private static final int CONTROL_PAUSE_MILLIS = 4_000;

  @DataProvider
  public Object[][] seeds() {
    int first = Integer.getInteger("soak.firstSeed", 1);
    return IntStream.range(first, first + Integer.getInteger("soak.seeds", 3))
        .mapToObj(seed -> new Object[] {seed})
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "seeds")
  public void shouldSendNoCrashingRequestAfterItCrashedThreeUpstreams(int seed) throws Exception {
    runSoak(seed, Crashing.EQUAL_REQUESTS);
  }

  @Test(dataProvider = "seeds")
  public void shouldSendFewRequestsWithDeadlyPartAfterItCrashedFiveUpstreams(int seed)
      throws Exception {
    runSoak(seed, Crashing.REQUESTS_WITH_DEADLY_PART);
  }

  /** What crashes upstreams, and what the gateway promises about it. */
  private enum Crashing {
    EQUAL_REQUESTS(3, 0),
    REQUESTS_WITH_DEADLY_PART(5, 3);

    private final int crashesUntilKnown;
    private final int maxLateCrashes;

    Crashing(int crashesUntilKnown, int maxLateCrashes) {
      this.crashesUntilKnown = crashesUntilKnown;
      this.maxLateCrashes = maxLateCrashes;
    }
  }

  private static void runSoak(int seed, Crashing crashing) throws Exception {
    Random random = new Random(seed);
    int routers = 4 + random.nextInt(4);
    int upstreamCount = 2 + random.nextInt(3);
    Restart restart = Restart.values()[random.nextInt(Restart.values().length)];
    try (LocalGateway gateway = new LocalGateway(LocalGateway::parseDocument, routers);
        CrashingUpstreams upstreams = startUpstreams(gateway, upstreamCount, restart);
        Soak soak = new Soak(gateway, routers, seed, crashing)) {
      soak.run();
      soak.assertServingAndQuarantined();
      assertThat(upstreams.crashes()).as("seed %s: crashes", seed).isGreaterThanOrEqualTo(3);
      assertThat(soak.lateCrashes(upstreams.crashLog()))
          .as("seed %s: crashes under requests of routers that should know", seed)
          .hasSizeLessThanOrEqualTo(crashing.maxLateCrashes);
      assertThat(soak.served()).as("seed %s: other requests served", seed).isPositive();
    }
  }

  private static CrashingUpstreams startUpstreams(LocalGateway gateway, int count, Restart restart)
      throws Exception {
    gateway.awaitServing();
    return new CrashingUpstreams(gateway, count, restart);
  }

  /** Time in which a daemon was stopped and started; {@code router} is negative for the others. */
  private record Outage(int router, long startNanos, long endNanos) {

    boolean disturbs(Crash crash) {
      boolean concerns = router < 0 || router == Integer.parseInt(crash.sentTo());
      return concerns
          && startNanos - crash.atNanos() <= 0
          && endNanos + STABLE_NANOS - crash.atNanos() >= 0;
    }
  }

  /** An action on a daemon that may fail. */
  private interface Action {
    void run() throws Exception;
  }

  /** Callers, restarts of routers and restarts of control daemons of one run, a thread each. */
  private static final class Soak implements AutoCloseable {
    private final LocalGateway gateway;
    private final int routers;
    private final int seed;
    private final Crashing crashing;
    private final AtomicInteger requests = new AtomicInteger();
    private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
    private final List<Outage> outages = new CopyOnWriteArrayList<>();
    private final AtomicInteger served = new AtomicInteger();
    private volatile boolean stopped;

    Soak(LocalGateway gateway, int routers, int seed, Crashing crashing) {
      this.crashing = crashing;
      this.gateway = gateway;
      this.routers = routers;
      this.seed = seed;
    }

    /** Runs all threads for the time of a run and rethrows the failure of one. */
    void run() throws Exception {
      ExecutorService threads = Executors.newFixedThreadPool(3);
      try {
        List<Future<?>> tasks =
            List.of(
                threads.submit(() -> repeat(new Random(seed), this::sendToRandomRouters)),
                threads.submit(() -> repeat(new Random(seed + 1L), this::restartRouter)),
                threads.submit(() -> repeat(new Random(seed + 2L), this::restartControls)));
        Thread.sleep(RUN_MILLIS);
        stopped = true;
        for (Future<?> task : tasks) {
          task.get();
        }
      } finally {
        stopped = true;
        threads.shutdown();
      }
    }

    /** Checks that all routers serve again, so that the run was not silent, and still refuse. */
    void assertServingAndQuarantined() throws InterruptedException {
      TimeUnit.NANOSECONDS.sleep(STABLE_NANOS);
      for (int i = 0; i < routers; i++) {
        int router = i;
        LocalGateway.await(() -> sendSound(router).join().status() == 200);
        HttpResponse response = sendCrashing(router).join();
        assertThat(response.text()).as("seed %s, router %s", seed, router).contains("quarantined");
      }
    }

    private Void repeat(Random random, RandomAction action) throws Exception {
      while (!stopped) {
        action.run(random);
      }
      return null;
    }

    private void sendToRandomRouters(Random random) throws InterruptedException {
      int together = random.nextInt(RARELY_TOGETHER) == 0 ? 3 : 1;
      for (int i = 0; i < together; i++) {
        sendCrashing(random.nextInt(routers));
      }
      sendSound(random.nextInt(routers))
          .thenAccept(response -> served.addAndGet(response.status() == 200 ? 1 : 0));
      Thread.sleep(random.nextInt(MAX_SEND_PAUSE_MILLIS));
    }

    private CompletableFuture<HttpResponse> sendSound(int router) {
      return send(router, "/once/x", SOUND_PARTS);
    }

    private CompletableFuture<HttpResponse> sendCrashing(int router) {
      return crashing == Crashing.EQUAL_REQUESTS
          ? send(router, "/repeatable/crash", SOUND_PARTS)
          : send(
              router,
              "/repeatable/" + requests.incrementAndGet(),
              SOUND_PARTS + "," + CrashingUpstreams.DEADLY_PART + ":30");
    }

    private CompletableFuture<HttpResponse> send(int router, String path, String sharedParts) {
      HttpRequest request =
          HttpRequest.post(gateway.callerAddress(router), path, "same body")
              .withHeader(Headers.HOST_STRING, LocalGateway.HOST)
              .withHeader("X-Request-Id", "r" + path.hashCode())
              .withHeader("X-Api-Key", LocalGateway.API_KEY)
              .withHeader(CrashingUpstreams.PROMPT_PARTS, sharedParts + ",own:5")
              .withHeader(CrashingUpstreams.SENT_TO, Integer.toString(router));
      return client.send(request, TIMEOUT);
    }

    private void restartRouter(Random random) throws Exception {
      Thread.sleep(random.nextInt(MAX_RESTART_PAUSE_MILLIS));
      int router = random.nextInt(routers);
      recordOutage(router, () -> gateway.restartRouter(router));
    }

    /** Restarts all control daemons with their disks, or one or two of them without. */
    private void restartControls(Random random) throws Exception {
      Thread.sleep(CONTROL_PAUSE_MILLIS + random.nextInt(MAX_RESTART_PAUSE_MILLIS));
      int lost = random.nextInt(3);
      int first = random.nextInt(LocalGateway.CONTROL_COUNT);
      int second = (first + 1) % LocalGateway.CONTROL_COUNT;
      if (lost == 0) {
        recordOutage(-1, gateway::restartControls);
      } else if (lost == 1) {
        recordOutage(-1, () -> gateway.restartWithEmptyDisks(first));
      } else {
        recordOutage(-1, () -> gateway.restartWithEmptyDisks(first, second));
      }
      LocalGateway.await(gateway::isFullyReplicated);
    }

    private void recordOutage(int router, Action action) throws Exception {
      long startNanos = System.nanoTime();
      action.run();
      outages.add(new Outage(router, startNanos, System.nanoTime()));
    }

    /**
     * Returns the crashes long after the one from which all routers should know, by routers that
     * nothing disturbed lately.
     */
    List<Crash> lateCrashes(List<Crash> crashes) {
      if (crashes.size() < crashing.crashesUntilKnown) {
        return List.of();
      }
      long knownAtNanos = crashes.get(crashing.crashesUntilKnown - 1).atNanos();
      return crashes.stream()
          .filter(crash -> crash.atNanos() - knownAtNanos > STABLE_NANOS)
          .filter(crash -> outages.stream().noneMatch(outage -> outage.disturbs(crash)))
          .toList();
    }

    int served() {
      return served.get();
    }

    @Override
    public void close() {
      client.close();
    }
  }

  /** A step of a thread of the soak. */
  private interface RandomAction {
    void run(Random random) throws Exception;
  }
}
