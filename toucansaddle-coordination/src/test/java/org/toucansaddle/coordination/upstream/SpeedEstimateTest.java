package org.toucansaddle.coordination.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.upstream.SpeedEstimate.Sums;

/** Tests of {@link SpeedEstimate}. */
public class SpeedEstimateTest {

  private SpeedEstimate estimate;

  @BeforeMethod
  public void createEstimate() {
    estimate = new SpeedEstimate();
  }

  /** Guards against short requests that waited and made every estimate too high. */
  @Test
  public void shouldWeighTimesByTheNominalTime() {
    for (int i = 0; i < 100; i++) {
      estimate.record(80, 20, 0);
      estimate.record(200, 200, 0);
    }
    assertThat(estimate.sums(0).multiple(1, 0)).isCloseTo(280.0 / 220, within(0.001));
  }

  @Test
  public void shouldLimitTheEffectOfAnOutlier() {
    estimate.record(60_000, 50, 0);
    assertThat(estimate.sums(0).observed()).isEqualTo(400);
    estimate.record(-5, 50, 0);
    assertThat(estimate.sums(0)).isEqualTo(new Sums(400, 100));
  }

  @Test
  public void shouldForgetWithTime() {
    estimate.record(400, 100, 0);
    Sums later = estimate.sums(TimeUnit.SECONDS.toNanos(20));
    assertThat(later.nominal()).isLessThan(3);
    assertThat(later.multiple(1, 300)).isCloseTo(1, within(0.05));
  }

  /** Guards against threads whose times are out of order and make others decay twice. */
  @Test
  public void shouldNotDecayTwiceAfterAnEarlierTime() {
    long now = -TimeUnit.SECONDS.toNanos(100);
    estimate.record(100, 100, now);
    estimate.sums(now - TimeUnit.SECONDS.toNanos(10));
    assertThat(estimate.sums(now)).isEqualTo(new Sums(100, 100));
  }

  @Test
  public void shouldStayNearTheUsualMultipleWhileLittleIsKnown() {
    estimate.record(300, 50, 0);
    assertThat(estimate.sums(0).multiple(1, 300)).isBetween(1.0, 2.0);
    assertThat(Sums.NONE.multiple(1.5, 300)).isEqualTo(1.5);
  }
}
