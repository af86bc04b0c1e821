package org.toucansaddle.coordination.pacing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.toucansaddle.coordination.pacing.ColdPermitIssuer.VALID_MILLIS;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Load patterns at upstreams that are cold, with 100 routers and no network. */
public class ColdUpstreamPatternsTest {

  private static final int ROUTERS = 100;
  private static final int STEP_MILLIS = 5;
  private static final int DAY_MILLIS = 20_000;
  private static final int REPORT_MILLIS = 400;
  private static final List<String> ADDRESSES = List.of("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1");

  /** What a cold upstream bears in any second, as operators state it for a rate. */
  private static double bound(double rate) {
    return 1.5 * rate + 5;
  }

  /** Faults of one run. */
  private record Faults(int maxDelayMillis, double lost, double repeated, String event) {}

  /** Message on its way to a router. */
  private record Delivery(long atMillis, int router, ColdPermit permit) {}

  /** Routers that each want to send a request to one cold upstream in every step. */
  private static final class Fleet {
    private final SplittableRandom random;
    private final Faults faults;
    private final double rate;
    private final List<ColdPermits> routers = new ArrayList<>();
    private final List<Long> sentAt = new ArrayList<>();
    private final PriorityQueue<Delivery> deliveries =
        new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
    private long millis;
    private final ColdPermitIssuer[] issuers = {createIssuer(), createIssuer(), createIssuer()};

    Fleet(double rate, Faults faults, long seed) {
      this.rate = rate;
      this.faults = faults;
      this.random = new SplittableRandom(seed);
      for (int i = 0; i < ROUTERS; i++) {
        routers.add(new ColdPermits());
      }
    }

    private ColdPermitIssuer createIssuer() {
      return new ColdPermitIssuer(this::nanos);
    }

    private long nanos() {
      return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    void run() {
      for (; millis < DAY_MILLIS; millis += STEP_MILLIS) {
        happen();
        deliver();
        for (int router = 0; router < ROUTERS; router++) {
          step(router);
        }
      }
    }

    private void happen() {
      for (int i = 0; i < issuers.length; i++) {
        issuers[i].updateDaemons(ADDRESSES.get(i), ADDRESSES);
      }
      boolean isSecond = millis % 1_000 == 0;
      if (faults.event().equals("issuer restarts") && millis % 5_000 == 0) {
        issuers[0] = createIssuer();
      } else if (faults.event().equals("routers restart") && isSecond) {
        for (int i = 0; i < ROUTERS / 10; i++) {
          routers.set(random.nextInt(ROUTERS), new ColdPermits());
        }
      }
    }

    private void deliver() {
      while (!deliveries.isEmpty() && deliveries.peek().atMillis() <= millis) {
        Delivery delivery = deliveries.poll();
        routers.get(delivery.router()).receive(delivery.permit(), nanos());
      }
    }

    private void step(int router) {
      ColdPermits permits = routers.get(router);
      if (isWanted() && permits.take("u", 1, nanos())) {
        sentAt.add(millis);
      } else {
        permits.recordPassedOver("s", "u", 1);
      }
      boolean reportIsDue = (millis + router * STEP_MILLIS) % REPORT_MILLIS == 0;
      if (reportIsDue) {
        report(router, permits);
      }
    }

    /** Returns whether requests come that use the permits for which earlier ones have asked. */
    private boolean isWanted() {
      return !faults.event().endsWith("permits held")
          || millis % (VALID_MILLIS + 1_000) >= VALID_MILLIS;
    }

    private void report(int router, ColdPermits permits) {
      long number = permits.recordReport(nanos());
      List<ColdAsk> asks = permits.takeAsks();
      for (ColdPermit permit : issuerOf(router).issue(number, asks, service -> rate)) {
        if (random.nextDouble() >= faults.lost()) {
          send(router, permit);
        }
        if (random.nextDouble() < faults.repeated()) {
          send(router, permit);
        }
      }
    }

    private void send(int router, ColdPermit permit) {
      long delay = 1 + random.nextInt(faults.maxDelayMillis());
      deliveries.add(new Delivery(millis + delay, router, permit));
    }

    /** Routers on the two sides of a cut ask different daemons. */
    private ColdPermitIssuer issuerOf(int router) {
      if (faults.event().startsWith("cut in three")) {
        return issuers[millis % 8_000 > 3_000 ? router % 3 : 0];
      }
      boolean isCut = faults.event().startsWith("cut in two") && millis % 8_000 > 3_000;
      boolean changes = faults.event().equals("issuer changes") && millis % 4_000 > 2_000;
      return issuers[changes || (isCut && router % 2 == 1) ? 1 : 0];
    }

    int mostInAnySecond() {
      Deque<Long> window = new ArrayDeque<>();
      int most = 0;
      for (long at : sentAt) {
        window.addLast(at);
        while (at - window.peekFirst() >= 1_000) {
          window.removeFirst();
        }
        most = Math.max(most, window.size());
      }
      return most;
    }
  }

  @DataProvider
  public Object[][] patterns() {
    List<Object[]> cases = new ArrayList<>();
    for (double rate : new double[] {1, 6.9, 10}) {
      for (long seed = 1; seed <= 3; seed++) {
        cases.add(new Object[] {rate, new Faults(3, 0, 0, "none"), seed});
        cases.add(new Object[] {rate, new Faults(1_500, 0.2, 0.3, "none"), seed});
        cases.add(new Object[] {rate, new Faults(300, 0.1, 0.3, "issuer restarts"), seed});
        cases.add(new Object[] {rate, new Faults(300, 0, 0.3, "routers restart"), seed});
        cases.add(new Object[] {rate, new Faults(300, 0, 0.3, "cut in two"), seed});
        cases.add(new Object[] {rate, new Faults(700, 0, 0.3, "issuer changes"), seed});
        cases.add(new Object[] {rate, new Faults(300, 0, 0.3, "cut in three"), seed});
        cases.add(new Object[] {rate, new Faults(3, 0, 0, "cut in two, permits held"), seed});
        cases.add(new Object[] {rate, new Faults(3, 0, 0, "cut in three, permits held"), seed});
      }
    }
    return cases.toArray(new Object[0][]);
  }

  // Guards against a flood of all routers at an upstream that has just come back cold.
  @Test(dataProvider = "patterns")
  public void shouldKeepColdUpstreamBelowBoundWhenAllRoutersWantIt(
      double rate, Faults faults, long seed) {
    Fleet fleet = new Fleet(rate, faults, seed);
    fleet.run();
    assertThat((double) fleet.mostInAnySecond())
        .as("most requests in any second at rate %s with %s, seed %d", rate, faults, seed)
        .isLessThanOrEqualTo(bound(rate));
  }

  // A bound that nobody may use would leave a zone that comes back idle for its whole warm-up.
  @Test
  public void shouldUseAThirdOfRateWhenAllRoutersWantIt() {
    Fleet fleet = new Fleet(6.9, new Faults(3, 0, 0, "none"), 1);
    fleet.run();
    double seconds = TimeUnit.MILLISECONDS.toSeconds(DAY_MILLIS);
    assertThat(fleet.sentAt.size() / seconds).isGreaterThan(6.9 / 3);
  }
}
