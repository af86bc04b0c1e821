package org.toucansaddle.coordination.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalInt;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ToldLoad}. */
public class ToldLoadTest {

  private static final OptionalInt USUAL = OptionalInt.of(100);

  @DataProvider
  public Object[][] loads() {
    return new Object[][] {
      {new ToldLoad(0, 0, 1, OptionalInt.empty()), true},
      {new ToldLoad(32, 160, 8, OptionalInt.of(10)), true},
      {new ToldLoad(8, 0, 8, OptionalInt.of(2_000)), true},
      {new ToldLoad(33, 0, 8, USUAL), false},
      {new ToldLoad(0, 161, 8, USUAL), false},
      {new ToldLoad(0, 0, 0, USUAL), false},
      {new ToldLoad(-1, 0, 8, USUAL), false},
      {new ToldLoad(0, -1, 8, USUAL), false},
      {new ToldLoad(0, 0, -8, USUAL), false},
      {new ToldLoad(0, 0, 8, OptionalInt.of(9)), false},
      {new ToldLoad(0, 0, 8, OptionalInt.of(2_001)), false},
    };
  }

  @Test(dataProvider = "loads")
  public void shouldTellPlausibleLoads(ToldLoad load, boolean plausible) {
    assertThat(load.isPlausible()).isEqualTo(plausible);
  }
}
