package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.upstream.ReportedLoad;
import org.toucansaddle.coordination.upstream.SpeedEstimate.Sums;
import org.toucansaddle.coordination.upstream.UpstreamCondition;
import org.toucansaddle.coordination.upstream.UpstreamCondition.OthersWork;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.toucansaddle.daemon.internal.gateway.routing.UpstreamTable;

/** Tests of {@link ServiceThrottle}, the larger ones on simulated routers and upstreams. */
public class ServiceThrottleTest {

  private static final int SLOTS = 6;

  /** Requests that an upstream holds beside those that run; it rejects all others. */
  private static final int QUEUE = 24;

  private static final double SERVICE_MILLIS = 86;
  private static final double TARGET_MILLIS = 386;
  private static final double REPORT_MILLIS = 400;
  private static final double RUN_MILLIS = 40_000;

  /** Time after the overload begins that does not count. */
  private static final double SETTLING_MILLIS = 5_000;

  private long clockNanos;

  @BeforeMethod
  public void resetClock() {
    clockNanos = 0;
  }

  @Test
  public void shouldAdmitAllRequestsUpToTheTarget() {
    ServiceThrottle throttle = new ServiceThrottle(() -> clockNanos, () -> 0.999);
    for (int i = 0; i < 100; i++) {
      clockNanos += TimeUnit.MILLISECONDS.toNanos(100);
      assertThat(throttle.admits("", 8, SLOTS)).isTrue();
    }
  }

  @Test
  public void shouldAdmitAllRequestsAgainSoonAfterAnOverload() {
    ServiceThrottle throttle = new ServiceThrottle(() -> clockNanos, () -> 0.999);
    for (int i = 0; i < 100; i++) {
      clockNanos += TimeUnit.MILLISECONDS.toNanos(400);
      throttle.admits("", 100, SLOTS);
    }
    assertThat(throttle.admits("", 100, SLOTS)).isFalse();
    clockNanos += TimeUnit.SECONDS.toNanos(3);
    assertThat(throttle.admits("", 0, SLOTS)).isTrue();
  }

  /**
   * Short calls at an idle service. Guards against a throttle that trusts the counts of late
   * routers: they report requests that have ended.
   */
  @Test
  public void shouldAdmitAllRequestsToUpstreamsThatReportFew() {
    ServiceThrottle throttle = new ServiceThrottle(() -> clockNanos, () -> 0.999);
    UpstreamTable table = new UpstreamTable();
    table.accept(new UpstreamReport("u", "s", "10.0.0.1:80", "z", SLOTS, State.READY, 1, 1), 0);
    UpstreamCondition condition = table.ready("s").get(0).condition();
    for (int i = 0; i < 200; i++) {
      clockNanos += TimeUnit.MILLISECONDS.toNanos(50);
      if (i % 8 == 0) {
        condition.updateOthers(
            new OthersWork(5 * SLOTS, 0, Sums.NONE),
            TimeUnit.MILLISECONDS.toNanos(200),
            clockNanos);
      }
      condition.recordLoad(new ReportedLoad(1, 0, SLOTS, OptionalInt.empty()), clockNanos);
      assertThat(throttle.admits("", table.ready("s"))).isTrue();
    }
  }

  /**
   * Hot account of short calls. Guards against calls that are admitted by how often an account
   * asks.
   */
  @Test
  public void shouldServeSmallAccountInFullBesideHotOneWhilePartIsAdmitted() {
    ServiceThrottle throttle = new ServiceThrottle(() -> clockNanos, new Random(1)::nextDouble);
    int fullSlots = 10;
    int atTarget = 14;
    for (int step = 0; step < 4; step++) {
      clockNanos += TimeUnit.MILLISECONDS.toNanos(400);
      throttle.admits("hot", 2 * atTarget, fullSlots);
    }
    int hot = 0;
    int small = 0;
    for (int call = -400; call < 2_000; call++) {
      clockNanos += TimeUnit.MILLISECONDS.toNanos(10);
      boolean isSmall = call % 10 == 0;
      boolean admitted = throttle.admits(isSmall ? "small" : "hot", atTarget, fullSlots);
      if (admitted && call >= 0) {
        small += isSmall ? 1 : 0;
        hot += isSmall ? 0 : 1;
      }
    }
    assertThat(small).as("of 200 calls").isEqualTo(200);
    assertThat(hot + small).as("about 0.3 of 2,000 calls").isBetween(500, 750);
  }

  @DataProvider
  static Object[][] fleets() {
    return new Object[][] {{7, 2, 172}, {83, 2, 172}, {83, 3, 250}, {83, 2, 400}};
  }

  /**
   * Guards against routers that fill all queues of a service between two reports: half of the
   * requests that they sent were rejected, and most others were answered late.
   */
  @Test(dataProvider = "fleets")
  public void shouldKeepUpstreamsBusyAndQueuesShortInOverload(
      int routers, int upstreams, int requestsPerSecond) {
    Simulation simulation = new Simulation(routers, upstreams, requestsPerSecond, 17);
    simulation.run();
    assertThat(simulation.rejected)
        .as("rejected of %s sent", simulation.sent)
        .isLessThan(simulation.sent / 20);
    double capacity = (RUN_MILLIS - SETTLING_MILLIS) * upstreams * SLOTS / SERVICE_MILLIS;
    assertThat(simulation.answered).as("of %s", capacity).isGreaterThan((int) (0.7 * capacity));
    assertThat(simulation.late)
        .as("answered after their target, of %s", simulation.answered)
        .isLessThan(simulation.answered / 4);
  }

  /** An action at a simulated time in milliseconds. */
  private record Event(double at, Runnable action) {}

  /** Routers that report to each other and upstreams with a queue; events in order of time. */
  private final class Simulation {
    private final Random random;
    private final PriorityQueue<Event> events =
        new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
    private final List<Router> routers = new ArrayList<>();
    private final List<Queue<Runnable>> queues = new ArrayList<>();
    private final int[] running;
    private final double requestsPerMilli;
    private double now;
    private int sent;
    private int rejected;
    private int answered;
    private int late;

    Simulation(int routerCount, int upstreams, int requestsPerSecond, int seed) {
      random = new Random(seed);
      running = new int[upstreams];
      requestsPerMilli = requestsPerSecond / 1_000.0;
      for (int i = 0; i < upstreams; i++) {
        queues.add(new ArrayDeque<>());
      }
      for (int i = 0; i < routerCount; i++) {
        routers.add(new Router(upstreams));
      }
    }

    private void schedule(double delayMillis, Runnable action) {
      events.add(new Event(now + delayMillis, action));
    }

    private double exponential(double mean) {
      return -mean * Math.log(1 - random.nextDouble());
    }

    void run() {
      schedule(0, this::arrive);
      for (Router router : routers) {
        schedule(random.nextDouble() * REPORT_MILLIS, router::report);
        schedule(random.nextDouble() * REPORT_MILLIS, router::receiveSums);
      }
      while (now < RUN_MILLIS) {
        Event next = events.remove();
        now = next.at();
        clockNanos = (long) (now * 1e6);
        next.action().run();
      }
    }

    private boolean isWarm() {
      return now > SETTLING_MILLIS;
    }

    /** A caller sends a request, and sends it again once if it is refused. */
    private void arrive() {
      Router router = routers.get(random.nextInt(routers.size()));
      if (!router.send()) {
        schedule(random.nextInt(60, 170), router::send);
      }
      schedule(exponential(1 / requestsPerMilli), this::arrive);
    }

    private void start(int upstream, Runnable request) {
      running[upstream]++;
      schedule(
          exponential(SERVICE_MILLIS),
          () -> {
            running[upstream]--;
            request.run();
            if (!queues.get(upstream).isEmpty()) {
              start(upstream, queues.get(upstream).remove());
            }
          });
    }

    /** A router with its requests, those in its last report, and those in others' reports. */
    private final class Router {
      private final ServiceThrottle throttle =
          new ServiceThrottle(() -> clockNanos, random::nextDouble);
      private final int[] own;
      private int[] reported;
      private int[] remote;

      Router(int upstreams) {
        own = new int[upstreams];
        reported = new int[upstreams];
        remote = new int[upstreams];
      }

      private void report() {
        reported = own.clone();
        schedule(REPORT_MILLIS, this::report);
      }

      private void receiveSums() {
        int[] sums = new int[own.length];
        for (Router other : routers) {
          for (int i = 0; i < sums.length; i++) {
            sums[i] += other == this ? 0 : other.reported[i];
          }
        }
        remote = sums;
        schedule(REPORT_MILLIS, this::receiveSums);
      }

      /** Returns whether an upstream took a request. */
      private boolean send() {
        int requests = Arrays.stream(own).sum() + Arrays.stream(remote).sum();
        if (!throttle.admits("", requests, SLOTS * own.length)) {
          return false;
        }
        sent += isWarm() ? 1 : 0;
        int upstream = random.nextInt(own.length);
        if (running[upstream] + queues.get(upstream).size() >= SLOTS + QUEUE) {
          rejected += isWarm() ? 1 : 0;
          return false;
        }
        own[upstream]++;
        double sentAt = now;
        Runnable request =
            () -> {
              own[upstream]--;
              answered += isWarm() ? 1 : 0;
              late += isWarm() && now - sentAt > TARGET_MILLIS ? 1 : 0;
            };
        if (running[upstream] < SLOTS) {
          start(upstream, request);
        } else {
          queues.get(upstream).add(request);
        }
        return true;
      }
    }
  }
}
