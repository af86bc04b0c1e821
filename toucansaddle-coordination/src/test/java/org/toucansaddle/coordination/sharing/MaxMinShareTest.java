package org.toucansaddle.coordination.sharing;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link MaxMinShare}. */
public class MaxMinShareTest {

  @DataProvider
  public Object[][] shares() {
    return new Object[][] {
      {new double[] {10, 20, 30}, 100, Double.MAX_VALUE},
      {new double[] {10, 50, 90}, 90, 40},
      {new double[] {100, 100}, 100, 50},
      {new double[] {}, 100, Double.MAX_VALUE},
    };
  }

  @Test(dataProvider = "shares")
  public void shouldComputeMaxMinShare(double[] demands, double capacity, double share) {
    assertThat(MaxMinShare.compute(demands, capacity)).isEqualTo(share);
  }
}
