package org.toucansaddle.coordination.internal.sharing;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks how the sides of a partition divide the slots of an upstream. */
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
  public void shouldLimitEachSideToItsShare(int reachable, int members, int slots, int expected) {
    assertThat(new PartitionShare(reachable, members).allowedSlots(slots)).isEqualTo(expected);
  }

  @Test
  public void shouldNeverAllowTwoSidesMoreThanAllSlots() {
    for (int members = 1; members <= 40; members++) {
      for (int reachable = 0; reachable <= members; reachable++) {
        for (int slots = 1; slots <= 40; slots++) {
          int firstSide = new PartitionShare(reachable, members).allowedSlots(slots);
          int secondSide = new PartitionShare(members - reachable, members).allowedSlots(slots);
          assertThat(firstSide + secondSide)
              .as("%d of %d, %d slots", reachable, members, slots)
              .isLessThanOrEqualTo(slots);
        }
      }
    }
  }

  @Test
  public void shouldNeverAllowThreeSidesMoreThanAllSlots() {
    for (int members = 3; members <= 24; members++) {
      for (int first = 1; first < members - 1; first++) {
        for (int second = 1; second < members - first; second++) {
          int third = members - first - second;
          for (int slots = 1; slots <= 20; slots++) {
            int sum =
                new PartitionShare(first, members).allowedSlots(slots)
                    + new PartitionShare(second, members).allowedSlots(slots)
                    + new PartitionShare(third, members).allowedSlots(slots);
            assertThat(sum).as("%d %d %d", first, second, third).isLessThanOrEqualTo(slots);
          }
        }
      }
    }
  }
}
