package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.UnaryOperator;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.internal.gateway.relay.UnevenEnginesSimulation.Kind;

/** Tests of the selection among upstreams that differ, on simulated routers and engines. */
public class UnevenUpstreamsTest {

  private static final int ENGINES = 6;
  private static final double SECONDS = 40;

  /** Prompts a second: about six tenths of what usual engines read. */
  private static final double PER_SECOND = 90;

  /** Returns an engine of a kind among usual ones that tell their load. */
  private static List<Kind> beside(Kind first) {
    List<Kind> kinds = new ArrayList<>(Collections.nCopies(ENGINES, Kind.ofMultiple(1)));
    kinds.set(0, first);
    return kinds;
  }

  private static UnevenEnginesSimulation run(List<Kind> kinds, int routers, int sessions) {
    UnevenEnginesSimulation simulation = new UnevenEnginesSimulation(kinds, routers, 17, SECONDS);
    simulation.run(PER_SECOND, sessions);
    return simulation;
  }

  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {{1, 2.0, 0.5}, {8, 2.0, 0.5}, {1, 1.2, 0.97}, {8, 1.2, 0.97}};
  }

  @Test(dataProvider = "fleets")
  public void shouldSendLessToASlowEngine(int routers, double multiple, double maxPart) {
    UnevenEnginesSimulation simulation = run(beside(Kind.ofMultiple(multiple)), routers, 0);
    assertThat(simulation.partOf(0)).as("of the mean").isLessThan(maxPart);
    assertThat(simulation.lateOrUnservedPart()).isLessThan(0.1);
  }

  @Test(dataProvider = "fleets")
  public void shouldKeepSessionsAtTheirEnginesBesideASlowOne(
      int routers, double multiple, double ignoredMaxPart) {
    UnevenEnginesSimulation simulation = run(beside(Kind.ofMultiple(multiple)), routers, 40);
    assertThat(simulation.enginesPerSession()).isLessThan(2);
    assertThat(simulation.lateOrUnservedPart()).isLessThan(0.1);
  }

  @Test
  public void shouldAvoidAnEngineWhileItIsSlow() {
    Kind slowForSeconds =
        new Kind(now -> now > 20_000 && now < 25_000 ? 4 : 1, false, text -> text);
    UnevenEnginesSimulation simulation = run(beside(slowForSeconds), 8, 0);
    assertThat(simulation.lateOrUnservedPart()).isLessThan(0.1);
  }

  @Test
  public void shouldNotKeepSendingToAnEngineThatAnswersFastAndRefuses() {
    Kind refusing = new Kind(now -> 1, true, text -> text);
    UnevenEnginesSimulation simulation = run(beside(refusing), 8, 0);
    assertThat(simulation.partOf(0)).isLessThan(0.5);
    assertThat(simulation.unservedPart()).isLessThan(0.01);
  }

  @Test
  public void shouldSeeAFloodOnlyThroughWhatAnEngineTells() {
    UnevenEnginesSimulation simulation =
        new UnevenEnginesSimulation(beside(Kind.ofMultiple(1)), 8, 17, SECONDS);
    for (int at = 10_000; at < 40_000; at += 500) {
      simulation.flood(0, at, 10);
    }
    simulation.run(PER_SECOND, 0);
    assertThat(simulation.partOf(0)).isLessThan(0.8);
    assertThat(simulation.lateOrUnservedPart()).isLessThan(0.15);
  }

  @DataProvider
  public Object[][] figures() {
    return new Object[][] {
      {figures("")}, {figures("-1,0,8")}, {figures("999,0,8")}, {figures("0,0,0")},
      {figures("x,y,z")}, {figures("0,0,8")}, {figures("1,0,8,10")}, {figures("1,0,8,2000")},
    };
  }

  private static UnaryOperator<String> figures(String text) {
    return truth -> text;
  }

  /** Guards against false figures of an engine that starve it or flood it. */
  @Test(dataProvider = "figures")
  public void shouldNeitherStarveNorFloodAnEngineThatTellsFalseFigures(
      UnaryOperator<String> figures) {
    UnevenEnginesSimulation simulation = run(beside(new Kind(now -> 1, false, figures)), 8, 0);
    assertThat(simulation.partOf(0)).isBetween(0.3, 1.7);
    assertThat(simulation.lateOrUnservedPart()).isLessThan(0.1);
  }

  @Test(dataProvider = "figures")
  public void shouldServeWhileAllFiguresAreFalse(UnaryOperator<String> figures) {
    Kind kind = new Kind(now -> 1, false, figures);
    UnevenEnginesSimulation simulation = run(Collections.nCopies(ENGINES, kind), 8, 0);
    assertThat(simulation.lateOrUnservedPart()).isLessThan(0.1);
  }

  /** Guards against estimates above the time observed in more than half of the answers. */
  @Test
  public void shouldNotExpectMoreThanIsObservedMostly() {
    assertThat(run(beside(Kind.ofMultiple(2)), 8, 0).estimatesAbovePart()).isLessThan(0.6);
  }
}
