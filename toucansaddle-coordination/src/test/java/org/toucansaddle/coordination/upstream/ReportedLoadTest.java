package org.toucansaddle.coordination.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalInt;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ReportedLoad}. */
public class ReportedLoadTest {

  private static final OptionalInt USUAL = OptionalInt.of(100);

  @DataProvider
  public Object[][] loads() {
    return new Object[][] {
      {new ReportedLoad(0, 0, 1, OptionalInt.empty()), true},
      {new ReportedLoad(32, 160, 8, OptionalInt.of(10)), true},
      {new ReportedLoad(8, 0, 8, OptionalInt.of(2_000)), true},
      {new ReportedLoad(33, 0, 8, USUAL), false},
      {new ReportedLoad(0, 161, 8, USUAL), false},
      {new ReportedLoad(0, 0, 0, USUAL), false},
      {new ReportedLoad(-1, 0, 8, USUAL), false},
      {new ReportedLoad(0, -1, 8, USUAL), false},
      {new ReportedLoad(0, 0, -8, USUAL), false},
      {new ReportedLoad(0, 0, 8, OptionalInt.of(9)), false},
      {new ReportedLoad(0, 0, 8, OptionalInt.of(2_001)), false},
    };
  }

  @Test(dataProvider = "loads")
  public void shouldTellPlausibleLoads(ReportedLoad load, boolean plausible) {
    assertThat(load.isPlausible()).isEqualTo(plausible);
  }
}
