package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.assertj.core.data.Percentage;
import org.testng.annotations.Test;

/** Tests of {@link EngineSpeed}. */
public class EngineSpeedTest {

  private static final double NOMINAL = 50;

  @Test
  public void shouldFollowEnginesThatAreSlowerThanTheirNominalSpeed() {
    EngineSpeed speed = new EngineSpeed();
    for (int i = 0; i < 200; i++) {
      speed.observed(10_000, NOMINAL, 550);
    }
    assertThat(speed.expectedMillis(10_000, NOMINAL)).isCloseTo(550, Percentage.withPercentage(2));
  }

  @Test
  public void shouldNotBelieveOneCrawlingEngine() {
    EngineSpeed speed = new EngineSpeed();
    double before = speed.expectedMillis(1_000, NOMINAL);
    speed.observed(1_000, NOMINAL, 60_000);
    assertThat(speed.expectedMillis(1_000, NOMINAL)).isLessThan(1.5 * before);
  }
}
