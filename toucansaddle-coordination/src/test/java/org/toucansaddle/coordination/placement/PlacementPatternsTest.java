package org.toucansaddle.coordination.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.placement.PlacementSimulation.Chooser;
import org.toucansaddle.coordination.placement.PlacementSimulation.Granting;
import org.toucansaddle.coordination.placement.PlacementSimulation.Outcome;
import org.toucansaddle.coordination.placement.PlacementSimulation.Settings;
import org.toucansaddle.coordination.placement.PlacementSimulation.Work;

/** Tests of {@link Placer} under patterns of load, by simulation. */
public class PlacementPatternsTest {

  private static final double MESSAGE_MILLIS = 3;
  private static final double WARM_UP_SECONDS = 3;
  private static final int ACCOUNTS = 20;

  /** Share of its requests that a caller gets in target while the upstreams have room. */
  private static final double SERVED_WITH_ROOM = 0.95;

  /**
   * Share of its requests that a caller gets in target while the fast upstreams alone have room.
   */
  private static final double SERVED_IN_ROOMY_POOL = 0.99;

  /** Share of its requests that a caller gets in target while others ask for too much. */
  private static final double SERVED_BESIDE_OVERLOAD = 0.85;

  private static final Work LONG_PROMPT =
      new Work("long", 199, 800, 12_000, 6_610, 5_382, 380, 387, 4.9);
  private static final Work SHORT_PROMPT =
      new Work("short", 211, 800, 10_000, 628, 198, 290, 927, 1.3);
  private static final Work TAG = new Work("tag", 338, 1_200, 2_500, 1_800, 568, 25, 993, 0.31);
  private static final List<Work> SHORT_TARGETS =
      List.of(
          new Work("essay", 100, 600, 10_000, 6_610, 5_382, 380, 200, 6.6),
          new Work("caption", 260, 300, 8_000, 628, 198, 290, 500, 1.9),
          new Work("check", 270, 400, 2_500, 1_800, 568, 25, 500, 0.42));
  private static final List<Work> MIX = List.of(LONG_PROMPT, SHORT_PROMPT, TAG);

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}};
  }

  private static Settings smallEngines() {
    return new Settings(95, 59, 12, 55, 395_139, 1_120_000, ACCOUNTS, MIX, 8);
  }

  private static Settings largeEngines() {
    return new Settings(67, 42, 32, 140, 444_000, 1_470_000, ACCOUNTS, SHORT_TARGETS, 8);
  }

  private static PlacementSimulation simulate(long seed, double load) {
    PlacementSimulation simulation = new PlacementSimulation(smallEngines(), seed, WARM_UP_SECONDS);
    addEqualTraffic(simulation, load);
    return simulation;
  }

  private static void addEqualTraffic(PlacementSimulation simulation, double load) {
    for (int account = 0; account < ACCOUNTS; account++) {
      addTraffic(simulation, "account" + account, load / ACCOUNTS, 0);
    }
  }

  private static void addTraffic(
      PlacementSimulation simulation, String account, double load, double from) {
    for (Work work : MIX) {
      simulation.addTraffic(
          work, account, load * work.perSecond(), from, simulation.settings.seconds());
    }
  }

  private static void assertServed(PlacementSimulation simulation, long seed, double fraction) {
    assertThat(simulation.total.inTargetFraction()).as("seed " + seed).isGreaterThan(fraction);
  }

  private static int mostRequestsAtOneEngine(PlacementSimulation simulation) {
    return simulation.engines.stream().mapToInt(engine -> engine.mostRequests).max().orElse(0);
  }

  /** Small engines and many routers: guards against routers that choose one engine at a time. */
  @Test(dataProvider = "seeds")
  public void shouldUseSmallEnginesBehindManyRouters(long seed) {
    PlacementSimulation simulation = simulate(seed, 0.5);
    simulation.run(simulation.new Granting(MESSAGE_MILLIS));
    assertServed(simulation, seed, SERVED_WITH_ROOM);
    assertThat(mostRequestsAtOneEngine(simulation))
        .as("requests at one engine, seed " + seed)
        .isLessThanOrEqualTo(simulation.settings.slots());
  }

  /**
   * Hot account: guards against one that takes the slots of those that ask for less than theirs.
   */
  @Test(dataProvider = "seeds")
  public void shouldServeAccountsBelowTheirShareBesideHotOne(long seed) {
    PlacementSimulation simulation = simulate(seed, 0.2);
    addTraffic(simulation, "hot", 1.5, 4);
    simulation.run(simulation.new Granting(MESSAGE_MILLIS));
    for (int account = 0; account < ACCOUNTS; account++) {
      Outcome outcome = simulation.byAccount.get("account" + account);
      assertThat(outcome.inTargetFraction())
          .as("account " + account + ", seed " + seed)
          .isGreaterThan(SERVED_BESIDE_OVERLOAD);
    }
  }

  /** Hot prefix: guards against one engine that everybody waits for. */
  @Test(dataProvider = "seeds")
  public void shouldSpreadHotPrefix(long seed) {
    PlacementSimulation simulation = simulate(seed, 0.6);
    simulation.hotPrefixPart = 0.4;
    simulation.run(simulation.new Granting(MESSAGE_MILLIS));
    assertServed(simulation, seed, SERVED_WITH_ROOM);
  }

  /** Burst of long prompts: guards against short requests that wait behind them. */
  @Test(dataProvider = "seeds")
  public void shouldServeShortRequestsInBurstOfLongPrompts(long seed) {
    PlacementSimulation simulation = simulate(seed, 0.5);
    simulation.addTraffic(LONG_PROMPT, "burst", 2 * LONG_PROMPT.perSecond(), 5, 7);
    simulation.run(simulation.new Granting(MESSAGE_MILLIS));
    assertThat(simulation.byWork.get(TAG.name()).inTargetFraction())
        .as("seed " + seed)
        .isGreaterThan(SERVED_BESIDE_OVERLOAD);
  }

  /** Crawling upstream: guards against requests that are lost on a slow one. */
  @Test(dataProvider = "seeds")
  public void shouldServeBesideCrawlingUpstream(long seed) {
    PlacementSimulation simulation = simulate(seed, 0.6);
    simulation.engines.get(0).slowness = 8;
    simulation.run(simulation.new Granting(MESSAGE_MILLIS));
    assertServed(simulation, seed, SERVED_WITH_ROOM);
  }

  /**
   * Upstreams of uneven speed and short targets: guards against slow ones that get as much as fast
   * ones, whose callers wait.
   */
  @Test(dataProvider = "seeds")
  public void shouldGiveSlowUpstreamsWhatTheyFinishInTime(long seed) {
    PlacementSimulation simulation = new PlacementSimulation(largeEngines(), seed, WARM_UP_SECONDS);
    simulation.engines.forEach(engine -> engine.slowness = engine.index % 3 == 0 ? 2.2 : 0.9);
    for (int account = 0; account < ACCOUNTS; account++) {
      for (Work work : SHORT_TARGETS) {
        double perSecond = work.perSecond() / ACCOUNTS;
        simulation.addTraffic(work, "account" + account, perSecond, 0, 8);
      }
    }
    simulation.run(simulation.new Granting(MESSAGE_MILLIS));
    assertServed(simulation, seed, SERVED_IN_ROOMY_POOL);
  }

  /** Half of the upstreams gone: guards against the requests that fail all others. */
  @Test(dataProvider = "seeds")
  public void shouldGoOnWithHalfOfTheUpstreams(long seed) {
    PlacementSimulation simulation = simulate(seed, 0.35);
    Granting granting = simulation.new Granting(MESSAGE_MILLIS);
    simulation.at(
        5,
        () -> {
          simulation.engines.stream().filter(e -> e.index % 2 == 0).forEach(e -> e.gone = true);
          simulation.after(200, granting::updatePool);
        });
    simulation.run(granting);
    assertServed(simulation, seed, SERVED_BESIDE_OVERLOAD);
  }

  /** Callers that come back at once: guards against goodput that falls with their number. */
  @Test(dataProvider = "seeds")
  public void shouldKeepGoodputIfCallersComeBackAtOnce(long seed) {
    PlacementSimulation patient = simulate(seed, 1.6);
    PlacementSimulation impatient = simulate(seed, 1.6);
    impatient.callersReturnAtOnce = true;
    patient.run(patient.new Granting(MESSAGE_MILLIS));
    impatient.run(impatient.new Granting(MESSAGE_MILLIS));
    assertThat(impatient.total.worth)
        .as("seed " + seed)
        .isGreaterThan(patient.total.worth * SERVED_BESIDE_OVERLOAD);
  }

  /** Recovery after everyone was refused: guards against returns that keep the pool full. */
  @Test(dataProvider = "seeds")
  public void shouldRecoverAfterEveryoneWasRefused(long seed) {
    PlacementSimulation simulation = new PlacementSimulation(smallEngines(), seed, 6.5);
    addEqualTraffic(simulation, 0.6);
    Granting granting = simulation.new Granting(MESSAGE_MILLIS);
    simulation.at(
        4,
        () -> {
          simulation.engines.forEach(engine -> engine.gone = true);
          granting.updatePool();
        });
    simulation.at(
        5,
        () -> {
          simulation.engines.forEach(engine -> engine.gone = false);
          granting.updatePool();
        });
    simulation.run(granting);
    assertServed(simulation, seed, SERVED_WITH_ROOM);
  }

  /** Granting place lost under load: guards against slots that a new one grants again. */
  @Test(dataProvider = "seeds")
  public void shouldGoOnWithNewGrantingPlace(long seed) {
    PlacementSimulation simulation = simulate(seed, 0.6);
    Granting granting = simulation.new Granting(MESSAGE_MILLIS);
    simulation.at(
        5,
        () -> {
          granting.replacePlacer();
          granting.reportOtherLoads();
        });
    for (double time = 5.2; time < 8; time += 0.2) {
      simulation.at(time, granting::reportOtherLoads);
    }
    simulation.run(granting);
    assertServed(simulation, seed, SERVED_BESIDE_OVERLOAD);
    assertThat(simulation.total.rejected).isZero();
  }

  private interface Way {
    Chooser create(PlacementSimulation simulation);
  }

  @DataProvider
  public Object[][] routersAlone() {
    Way alone = simulation -> new PlacementWays.RoutersAlone(simulation, 59);
    Way subset = simulation -> new PlacementWays.RoutersAlone(simulation, 12);
    return new Object[][] {
      {"alone", alone, 0.7}, {"alone", alone, 1.0}, {"alone", alone, 1.3},
      {"subset", subset, 0.7}, {"subset", subset, 1.0}, {"subset", subset, 1.3},
    };
  }

  /** Many routers that decide on old reports: the table of docs/PLACEMENT.md. */
  @Test(dataProvider = "routersAlone")
  public void shouldEarnMoreThanRoutersThatDecideAlone(String name, Way way, double load) {
    PlacementSimulation granted = simulate(1, load);
    PlacementSimulation other = simulate(1, load);
    granted.run(granted.new Granting(MESSAGE_MILLIS));
    other.run(way.create(other));
    report(name, load, granted, other);
    assertThat(granted.total.worth).as(name + " at " + load).isGreaterThan(other.total.worth);
  }

  @DataProvider
  public Object[][] loads() {
    return new Object[][] {{0.7}, {1.0}, {1.3}};
  }

  /** Leased slots: guards against prefixes that are read wherever a slot happens to be. */
  @Test(dataProvider = "loads")
  public void shouldReadLessAgainThanLeasedSlots(double load) {
    PlacementSimulation granted = simulate(1, load);
    PlacementSimulation leased = simulate(1, load);
    granted.run(granted.new Granting(MESSAGE_MILLIS));
    leased.run(new PlacementWays.LeasedSlots(leased, MESSAGE_MILLIS));
    report("leased", load, granted, leased);
    assertThat(rereadPart(granted)).as("load " + load).isLessThan(rereadPart(leased));
  }

  private static double rereadPart(PlacementSimulation simulation) {
    return simulation.total.rereadTokens / (double) simulation.total.readTokens;
  }

  private static void report(
      String name, double load, PlacementSimulation granted, PlacementSimulation other) {
    Reporter.log(
        "load %.1f: granted %.3f, reread %.2f; %s %.3f, reread %.2f"
            .formatted(
                load,
                granted.total.worthFraction(),
                rereadPart(granted),
                name,
                other.total.worthFraction(),
                rereadPart(other)),
        true);
  }
}
