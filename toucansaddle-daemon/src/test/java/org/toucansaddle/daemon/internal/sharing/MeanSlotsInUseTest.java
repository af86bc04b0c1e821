package org.toucansaddle.daemon.internal.sharing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Slots that an account uses while its requests wait. */
public class MeanSlotsInUseTest {

  private static final int ACCOUNT = 3;

  private MeanSlotsInUse slots;

  @BeforeMethod
  public void create() {
    slots = new MeanSlotsInUse();
  }

  @Test
  public void shouldKnowNothingBeforeTheFirstRequestRan() {
    slots.update(ACCOUNT, 0, true, 0);
    assertThat(slots.hasUsedSlot(ACCOUNT)).isFalse();
  }

  @Test
  public void shouldAverageOverTime() {
    for (int millis = 0; millis <= 60_000; millis += 100) {
      boolean two = millis / 100 % 3 == 0;
      slots.update(ACCOUNT, two ? 2 : 1, true, millis);
    }
    assertThat(slots.mean(ACCOUNT, 60_000)).isCloseTo(4.0 / 3, within(0.05));
  }

  @Test
  public void shouldNotCountTimeWithoutWaitingRequests() {
    slots.update(ACCOUNT, 4, true, 0);
    slots.update(ACCOUNT, 0, false, 5_000);
    assertThat(slots.mean(ACCOUNT, 90_000)).isCloseTo(4, within(1e-9));
  }

  @Test
  public void shouldFallWhileNothingRuns() {
    slots.update(ACCOUNT, 4, true, 0);
    slots.update(ACCOUNT, 0, true, 10);
    assertThat(slots.mean(ACCOUNT, 20_000)).isLessThan(0.1).isPositive();
  }
}
