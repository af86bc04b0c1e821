package org.toucansaddle.coordination.internal.sharing;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Slots of an upstream on the sides of a partition. */
public class PartitionShareTest {

  @DataProvider
  static Object[][] shares() {
    return new Object[][] {
      {8, 8, 16, 16},
      {7, 8, 16, 14},
      {1, 8, 16, 2},
      {3, 4, 4, 3},
      {1, 4, 4, 1},
      {2, 4, 4, 2},
      {419, 420, 16, 16},
      {1, 420, 16, 0},
      {0, 0, 16, 16},
    };
  }

  @Test(dataProvider = "shares")
  public void shouldLimitEachSideToItsShare(int heard, int roster, int slots, int expected) {
    assertThat(new PartitionShare(heard, roster).allowedSlots(slots)).isEqualTo(expected);
  }

  @Test
  public void shouldNeverAllowTwoSidesMoreThanAllSlots() {
    for (int roster = 1; roster <= 40; roster++) {
      for (int heard = 0; heard <= roster; heard++) {
        for (int slots = 1; slots <= 40; slots++) {
          int here = new PartitionShare(heard, roster).allowedSlots(slots);
          int there = new PartitionShare(roster - heard, roster).allowedSlots(slots);
          assertThat(here + there)
              .as("%d of %d, %d slots", heard, roster, slots)
              .isLessThanOrEqualTo(slots);
        }
      }
    }
  }

  @Test
  public void shouldNeverAllowThreeSidesMoreThanAllSlots() {
    for (int roster = 3; roster <= 24; roster++) {
      for (int first = 1; first < roster - 1; first++) {
        for (int second = 1; second < roster - first; second++) {
          int third = roster - first - second;
          for (int slots = 1; slots <= 20; slots++) {
            int sum =
                new PartitionShare(first, roster).allowedSlots(slots)
                    + new PartitionShare(second, roster).allowedSlots(slots)
                    + new PartitionShare(third, roster).allowedSlots(slots);
            assertThat(sum).as("%d %d %d", first, second, third).isLessThanOrEqualTo(slots);
          }
        }
      }
    }
  }
}
