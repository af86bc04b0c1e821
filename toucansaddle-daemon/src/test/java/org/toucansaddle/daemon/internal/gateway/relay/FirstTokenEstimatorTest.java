package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.assertj.core.data.Percentage;
import org.testng.annotations.Test;

/** Tests of {@link FirstTokenEstimator}. */
public class FirstTokenEstimatorTest {

  private static final double NOMINAL_TOKENS_PER_MILLI = 50;

  @Test
  public void shouldConvergeToEnginesSlowerThanNominal() {
    FirstTokenEstimator estimator = new FirstTokenEstimator();
    for (int i = 0; i < 200; i++) {
      estimator.addSample(10_000, NOMINAL_TOKENS_PER_MILLI, 550, 0);
    }
    assertThat(estimator.estimateMillis(10_000, NOMINAL_TOKENS_PER_MILLI))
        .isCloseTo(550, Percentage.withPercentage(2));
  }

  @Test
  public void shouldLimitEffectOfOneOutlier() {
    FirstTokenEstimator estimator = new FirstTokenEstimator();
    double before = estimator.estimateMillis(1_000, NOMINAL_TOKENS_PER_MILLI);
    estimator.addSample(1_000, NOMINAL_TOKENS_PER_MILLI, 60_000, 0);
    assertThat(estimator.estimateMillis(1_000, NOMINAL_TOKENS_PER_MILLI)).isLessThan(1.5 * before);
  }

  /** Guards against a late router that refuses requests because it takes the engines for slow. */
  @Test
  public void shouldNotTakeLagOfRouterForTimeOfEngines() {
    FirstTokenEstimator estimator = new FirstTokenEstimator();
    for (int i = 0; i < 200; i++) {
      estimator.addSample(10_000, NOMINAL_TOKENS_PER_MILLI, 1_220, 1_000);
    }
    assertThat(estimator.estimateMillis(10_000, NOMINAL_TOKENS_PER_MILLI))
        .isCloseTo(220, Percentage.withPercentage(2));
  }
}
