package org.toucansaddle.daemon.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.admission.ReadLag;
import org.toucansaddle.daemon.internal.gateway.LoadReadiness.ZoneState;

/** Tests of {@link LoadReadiness}. */
public class LoadReadinessTest {

  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final ZoneState OTHERS_SUFFICE = new ZoneState(4, 0, 0);
  private static final ZoneState NOBODY = new ZoneState(0, 0, 0);

  private LoadReadiness readiness;
  private int targetMillis;
  private long now;

  @BeforeMethod
  public void createReadiness() {
    readiness = new LoadReadiness();
    targetMillis = 2_000;
  }

  private void update(int steps, double lagMillis, boolean refuses, ZoneState others) {
    update(steps, lagMillis, refuses, others, NOBODY);
  }

  private void update(
      int steps, double lagMillis, boolean refuses, ZoneState others, ZoneState elsewhere) {
    for (int step = 0; step < steps; step++) {
      now += STEP_NANOS;
      readiness.update(now, new ReadLag(lagMillis, targetMillis), refuses, others, elsewhere);
    }
  }

  /** Guards against a router that serves no one and still says that it is ready. */
  @Test
  public void shouldTakeNoNewCallersWhileItStaysBehind() {
    update(8, 600, false, OTHERS_SUFFICE);
    assertThat(readiness.takesCallers()).isFalse();
  }

  @Test
  public void shouldTakeNoNewCallersWhileItRefusesOverdueOnes() {
    update(8, 20, true, OTHERS_SUFFICE);
    assertThat(readiness.takesCallers()).isFalse();
  }

  @Test
  public void shouldBearShortLag() {
    update(3, 600, false, OTHERS_SUFFICE);
    update(1, 20, false, OTHERS_SUFFICE);
    update(3, 600, false, OTHERS_SUFFICE);
    assertThat(readiness.takesCallers()).isTrue();
  }

  @Test
  public void shouldTakeCallersAgainOnlyAfterItHasCaughtUpForAWhile() {
    update(8, 600, false, OTHERS_SUFFICE);
    update(5, 20, false, OTHERS_SUFFICE);
    assertThat(readiness.takesCallers()).isFalse();
    update(8, 20, false, OTHERS_SUFFICE);
    assertThat(readiness.takesCallers()).isTrue();
  }

  @DataProvider
  public Object[][] zones() {
    return new Object[][] {
      {new ZoneState(0, 0, 0), true},
      {new ZoneState(1, 0, 0), false},
      {new ZoneState(1, 1, 1), true},
      {new ZoneState(2, 0, 0), false},
      {new ZoneState(2, 1, 1), true},
      {new ZoneState(4, 1, 1), false},
      {new ZoneState(4, 2, 2), true},
    };
  }

  /** Flood of a whole zone: guards against all its routers turning callers away. */
  @Test(dataProvider = "zones")
  public void shouldTakeCallersUnlessHalfOfTheZoneDoes(ZoneState others, boolean takesCallers) {
    update(20, 600, true, others);
    assertThat(readiness.takesCallers()).isEqualTo(takesCallers);
  }

  @DataProvider
  public Object[][] zonesAndOthers() {
    ZoneState allBehind = new ZoneState(4, 0, 4);
    ZoneState halfBehind = new ZoneState(4, 2, 2);
    return new Object[][] {
      // {zone, elsewhere, own lag, the zone gives way}
      {allBehind, new ZoneState(12, 0, 0), 600, true},
      {allBehind, new ZoneState(12, 0, 0), 20, true},
      {allBehind, new ZoneState(12, 0, 3), 600, true},
      {allBehind, new ZoneState(12, 0, 6), 600, false},
      {allBehind, new ZoneState(4, 0, 0), 600, false},
      {allBehind, NOBODY, 600, false},
      {halfBehind, new ZoneState(12, 0, 0), 600, true},
      {halfBehind, new ZoneState(12, 0, 0), 20, false},
    };
  }

  /** Flood of one zone: guards against its routers drowning while those of others are idle. */
  @Test(dataProvider = "zonesAndOthers")
  public void shouldLeaveCallersToOtherZonesWhileMostOfTheZoneIsBehind(
      ZoneState zone, ZoneState elsewhere, double lagMillis, boolean givesWay) {
    update(8, lagMillis, false, zone, elsewhere);
    assertThat(readiness.zoneGivesWay()).isEqualTo(givesWay);
    if (givesWay) {
      assertThat(readiness.takesCallers()).isFalse();
    }
  }

  @Test
  public void shouldTakeCallersAgainOnceTheZoneHasCaughtUp() {
    update(8, 600, false, new ZoneState(4, 0, 4), new ZoneState(12, 0, 0));
    update(12, 20, false, new ZoneState(4, 0, 0), new ZoneState(12, 0, 0));
    assertThat(readiness.takesCallers()).isTrue();
  }

  @DataProvider
  public Object[][] lagsAndTargets() {
    return new Object[][] {
      // {lag, shortest target, takes callers}
      {80, 300, true},
      {100, 300, false},
      {100, 1_000, true},
      {59, 100, true},
      {61, 100, false},
      {250, Integer.MAX_VALUE, false},
    };
  }

  /** Short targets: guards against a router that takes callers whom it cannot read in time. */
  @Test(dataProvider = "lagsAndTargets")
  public void shouldMeasureLagAgainstShortestTarget(
      double lagMillis, int shortestTargetMillis, boolean takesCallers) {
    targetMillis = shortestTargetMillis;
    update(8, lagMillis, false, OTHERS_SUFFICE);
    assertThat(readiness.takesCallers()).isEqualTo(takesCallers);
  }
}
