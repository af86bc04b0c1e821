package org.toucansaddle.coordination.pacing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.pacing.PacedFleet.Answer;
import org.toucansaddle.coordination.pacing.PacedFleet.Engine;
import org.toucansaddle.coordination.pacing.PacedFleet.Faults;
import org.toucansaddle.coordination.pacing.PacedFleet.Sample;

/** Load patterns at an upstream that has started or recovered, without a network. */
public class PacedUpstreamPatternsTest {

  private static final int ROUTERS = 60;
  private static final int LATE_MILLIS = 900;

  /** Answers at once as long as no more than some requests are under way. */
  private static Engine capable(int requests) {
    return (underWay, millis, random) ->
        underWay <= requests
            ? new Answer(100 + random.nextInt(100), 300 + random.nextInt(300), false)
            : new Answer(LATE_MILLIS, LATE_MILLIS + 300, false);
  }

  /** Is slow in its first seconds, then as others. */
  private static Engine coldThenWarm() {
    return (underWay, millis, random) ->
        capable(millis < 4_000 ? 3 : PacedFleet.SLOTS + 12).answer(underWay, millis, random);
  }

  private static final Engine HALF_DEAD =
      (underWay, millis, random) -> new Answer(50, 50, random.nextDouble() < 0.7);

  private static final Engine FAST_THEN_FAILS =
      (underWay, millis, random) ->
          millis < 2_000 ? new Answer(40, 200, false) : new Answer(20, 20, true);

  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {
      {"one router", 1, Faults.NONE},
      {"two routers", 2, Faults.NONE},
      {"60 routers", ROUTERS, Faults.NONE},
      {"60 routers, evidence lost", ROUTERS, new Faults(0.3, 0, 0, "")},
      {"60 routers, evidence late", ROUTERS, new Faults(0, 0, 300, "")},
      {"60 routers, evidence repeated", ROUTERS, new Faults(0, 0.3, 0, "")},
      {
        "60 routers, the summing daemon dies",
        ROUTERS,
        new Faults(0, 0, 0, "the summing daemon dies")
      },
      {"60 routers, a router restarts", ROUTERS, new Faults(0, 0, 0, "a router restarts")},
    };
  }

  @Test(dataProvider = "fleets")
  public void shouldEstablishGoodUpstream(String name, int routers, Faults faults) {
    for (long seed = 1; seed <= 5; seed++) {
      PacedFleet fleet = new PacedFleet(routers, capable(10_000), faults, seed);
      fleet.runUntil(10_000);

      assertThat(fleet.activeCount())
          .as("routers that restrict it, seed %d", seed)
          .isLessThanOrEqualTo(faults.event().equals("a router restarts") ? routers / 3 : 0);
    }
  }

  @Test(dataProvider = "fleets")
  public void shouldKeepRequestsUnderWayNearThePace(String name, int routers, Faults faults) {
    for (long seed = 1; seed <= 5; seed++) {
      PacedFleet fleet = new PacedFleet(routers, capable(6), faults, seed);
      fleet.runUntil(5_000);
      List<Sample> samples = fleet.runUntil(20_000);

      double underWay = samples.stream().mapToInt(Sample::underWay).average().orElseThrow();
      // A router that starts sends two requests of 1.2 s each before it learns of the pace.
      double sentAtRestarts = faults.event().equals("a router restarts") ? 2.4 : 0;
      double pace = samples.stream().mapToDouble(Sample::pace).average().orElseThrow();
      assertThat(underWay).as("mean under way, seed %d", seed).isBetween(1.0, 12.0);
      assertThat(underWay)
          .as("mean under way at a mean pace of %.1f, seed %d", pace, seed)
          .isBetween(pace / 4, pace + 2 + sentAtRestarts);
      assertThat(samples.stream().mapToInt(Sample::underWay).max().orElseThrow())
          .as("most under way, seed %d", seed)
          .isLessThanOrEqualTo(PacedFleet.SLOTS);
    }
  }

  @Test(dataProvider = "fleets")
  public void shouldSpareColdUpstreamAndUseItOnceItIsWarm(String name, int routers, Faults faults) {
    for (long seed = 1; seed <= 5; seed++) {
      PacedFleet fleet = new PacedFleet(routers, coldThenWarm(), faults, seed);
      List<Sample> first = List.copyOf(fleet.runUntil(1_000));
      fleet.runUntil(12_000);
      List<Sample> samples = fleet.runUntil(16_000);

      assertThat(first.stream().mapToInt(Sample::underWay).max().orElseThrow())
          .as("most under way in the first second, seed %d", seed)
          .isLessThanOrEqualTo(PacedFleet.SLOTS);
      assertThat(samples.stream().mapToInt(Sample::underWay).average().orElseThrow())
          .as("mean under way, seed %d", seed)
          .isGreaterThan(PacedFleet.SLOTS / 3.0);
    }
  }

  @Test(dataProvider = "fleets")
  public void shouldNotLetHalfDeadUpstreamEatRequests(String name, int routers, Faults faults) {
    for (long seed = 1; seed <= 5; seed++) {
      PacedFleet fleet = new PacedFleet(routers, HALF_DEAD, faults, seed);
      fleet.runUntil(3_000);
      int sent = fleet.runUntil(23_000).stream().mapToInt(Sample::sent).sum();

      assertThat(sent).as("sent in 20 s, seed %d", seed).isBetween(1, 400);
    }
  }

  @Test(dataProvider = "fleets")
  public void shouldWithdrawFromUpstreamThatAnswersAndThenFails(
      String name, int routers, Faults faults) {
    for (long seed = 1; seed <= 5; seed++) {
      PacedFleet fleet = new PacedFleet(routers, FAST_THEN_FAILS, faults, seed);
      fleet.runUntil(8_000);
      int sent = fleet.runUntil(28_000).stream().mapToInt(Sample::sent).sum();

      // Each router that starts finds out by itself.
      int restarts = faults.event().equals("a router restarts") ? 20 : 0;
      assertThat(sent).as("sent in 20 s, seed %d", seed).isBetween(1, 40 + 4 * restarts);
    }
  }

  /** Speeds of an engine for good, and the requests in 10 s that it gets at least. */
  @DataProvider
  public Object[][] speeds() {
    return new Object[][] {
      {"within the target", 390, 400},
      {"always late", 900, 5},
    };
  }

  @Test(dataProvider = "speeds")
  public void shouldNotStarveSlowUpstream(String name, int firstTokenMillis, int atLeast) {
    Engine slow =
        (underWay, millis, random) -> new Answer(firstTokenMillis, firstTokenMillis + 200, false);
    for (long seed = 1; seed <= 5; seed++) {
      PacedFleet fleet = new PacedFleet(ROUTERS, slow, Faults.NONE, seed);
      fleet.runUntil(10_000);
      int sent = fleet.runUntil(20_000).stream().mapToInt(Sample::sent).sum();

      assertThat(sent).as("sent in 10 s, seed %d", seed).isGreaterThanOrEqualTo(atLeast);
    }
  }

  /** Routers with callers, of 60. */
  @DataProvider
  public Object[][] senders() {
    return new Object[][] {{ROUTERS}, {20}, {6}, {2}};
  }

  /** Guards against a good upstream that is left idle, as routers without callers have its pace. */
  @Test(dataProvider = "senders")
  public void shouldUseGoodUpstreamWithinThreeSecondsWithoutFlood(int senders) {
    for (long seed = 1; seed <= 5; seed++) {
      PacedFleet fleet = new PacedFleet(ROUTERS, senders, capable(10_000), Faults.NONE, seed);
      List<Sample> first = List.copyOf(fleet.runUntil(1_000));
      fleet.runUntil(3_000);
      List<Sample> samples = fleet.runUntil(5_000);

      assertThat(first.stream().mapToInt(Sample::underWay).max().orElseThrow())
          .as("most under way in the first second, seed %d", seed)
          .isLessThanOrEqualTo(PacedFleet.SLOTS);
      assertThat(samples.stream().mapToInt(Sample::underWay).average().orElseThrow())
          .as("mean under way from 3 to 5 s, seed %d", seed)
          .isGreaterThan(PacedFleet.SLOTS / 2.0);
    }
  }
}
