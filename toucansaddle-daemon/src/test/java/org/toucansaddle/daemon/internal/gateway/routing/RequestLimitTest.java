package org.toucansaddle.daemon.internal.gateway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.internal.gateway.routing.RequestLimit.Notice;
import org.toucansaddle.daemon.internal.gateway.routing.RequestLimit.Part;

/** Tests of {@link RequestLimit}, over all routers that share a limit. */
public class RequestLimitTest {

  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final int WINDOW_SECONDS = 4;

  private static Notice notice(double requestsPerSecond, long atNanos) {
    return new Notice(OptionalDouble.of(requestsPerSecond), atNanos);
  }

  private static Notice withoutLimit(long atNanos) {
    return new Notice(OptionalDouble.empty(), atNanos);
  }

  private static List<RequestLimit> limits(int routers, double requestsPerSecond, long seed) {
    Random random = new Random(seed);
    List<RequestLimit> limits = new ArrayList<>();
    for (int i = 0; i < routers; i++) {
      RequestLimit limit = new RequestLimit(random::nextDouble);
      limit.update(notice(requestsPerSecond, 0));
      limits.add(limit);
    }
    return limits;
  }

  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {
      // routers, requests a second
      {1, 5}, {2, 0.5}, {7, 4.4}, {7, 1}, {9, 30}, {27, 5}, {95, 5}, {95, 0.1}, {95, 200},
    };
  }

  /** Guards against requests that many routers have saved up and send at the same moment. */
  @Test(dataProvider = "fleets")
  public void shouldKeepLimitWhenABurstReachesAllRouters(int routers, double limit) {
    for (long seed = 1; seed <= 50; seed++) {
      int most = mostInWindow(routers, limit, seed);
      double allowed = 1.5 * Math.max(limit, 0.25) * WINDOW_SECONDS + 5;
      assertThat(most).as("requests in 4 s, seed %s", seed).isLessThanOrEqualTo((int) allowed);
    }
  }

  /** Returns the largest number of requests in 4 s: nothing for a time, then all that may be. */
  private static int mostInWindow(int routers, double requestsPerSecond, long seed) {
    List<RequestLimit> limits = limits(routers, requestsPerSecond, seed);
    Part part = new Part(1.0 / routers, routers);
    Deque<Long> sent = new ArrayDeque<>();
    int most = 0;
    long burstAt = TimeUnit.SECONDS.toNanos(20) + new Random(seed).nextInt(1_000_000_000);
    for (long now = burstAt; now < burstAt + 3 * WINDOW_NANOS; now += STEP_NANOS) {
      for (RequestLimit limit : limits) {
        while (limit.permits(now, part)) {
          limit.recordSent();
          sent.add(now);
        }
      }
      while (!sent.isEmpty() && now - sent.peek() > WINDOW_NANOS) {
        sent.poll();
      }
      most = Math.max(most, sent.size());
    }
    return most;
  }

  /** Guards against routers that let most of a limit pass unused. */
  @Test(dataProvider = "fleets")
  public void shouldUseTheLimitWhenAllRoutersHaveRequests(int routers, double requestsPerSecond) {
    List<RequestLimit> limits = limits(routers, requestsPerSecond, 1);
    Part part = new Part(1.0 / routers, routers);
    int sent = 0;
    int seconds = 4_000;
    for (long now = 0; now < TimeUnit.SECONDS.toNanos(seconds); now += 10 * STEP_NANOS) {
      for (RequestLimit limit : limits) {
        while (limit.permits(now, part)) {
          limit.recordSent();
          sent++;
        }
      }
    }
    assertThat(sent / (double) seconds).isGreaterThan(0.95 * requestsPerSecond);
  }

  @Test
  public void shouldPermitAllWithoutALimit() {
    RequestLimit limit = new RequestLimit(() -> 0);
    limit.update(withoutLimit(0));
    assertThat(limit.permits(1, new Part(0.1, 10))).isTrue();
    assertThat(limit.notice()).isEmpty();
  }

  @Test
  public void shouldEndWithTheFirstResponseThatNamesNone() {
    RequestLimit limit = new RequestLimit(() -> 0);
    Part part = new Part(1, 1);
    assertThat(limit.update(notice(1, 10))).isTrue();
    assertThat(limit.permits(10, part)).isFalse();
    assertThat(limit.update(withoutLimit(20))).isTrue();
    assertThat(limit.permits(20, part)).isTrue();
    assertThat(limit.notice()).contains(withoutLimit(20));
  }

  /** Guards against a limit that comes back with a report of a router that is behind. */
  @Test
  public void shouldIgnoreWhatAnOlderResponseSaid() {
    RequestLimit limit = new RequestLimit(() -> 0);
    limit.update(notice(1, 10));
    limit.update(withoutLimit(20));
    assertThat(limit.update(notice(1, 15))).isFalse();
    assertThat(limit.isNamed()).isFalse();
  }

  /** Guards against a limit of nothing, after which no response could end it. */
  @Test
  public void shouldSendSomeRequestsAtALimitOfNothing() {
    RequestLimit limit = new RequestLimit(() -> 0);
    limit.update(notice(0, 0));
    Part part = new Part(1, 1);
    assertThat(limit.permits(TimeUnit.SECONDS.toNanos(3), part)).isFalse();
    assertThat(limit.permits(TimeUnit.SECONDS.toNanos(5), part)).isTrue();
  }

  @Test
  public void shouldTellHowLongToWait() {
    RequestLimit limit = new RequestLimit(() -> 0);
    limit.update(notice(2, 0));
    assertThat(limit.waitMillis(0, new Part(0.5, 2))).isEqualTo(1_000);
    assertThat(limit.waitMillis(TimeUnit.MILLISECONDS.toNanos(400), new Part(0.5, 2)))
        .isEqualTo(600);
    assertThat(limit.waitMillis(TimeUnit.MILLISECONDS.toNanos(1_000), new Part(0.5, 2))).isZero();
  }
}
