package org.toucansaddle.daemon.internal.sharing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks the mean number of slots that an account uses while its requests wait. */
public class MeanSlotsInUseTest {

  private static final int ACCOUNT = 3;

  private MeanSlotsInUse meanSlots;

  @BeforeMethod
  public void createMeanSlotsInUse() {
    meanSlots = new MeanSlotsInUse();
  }

  @Test
  public void shouldHaveNoMeanBeforeFirstRequestRuns() {
    meanSlots.update(ACCOUNT, 0, true, 0);
    assertThat(meanSlots.hasUsedSlot(ACCOUNT)).isFalse();
  }

  @Test
  public void shouldAverageOverTime() {
    for (int nowMillis = 0; nowMillis <= 60_000; nowMillis += 100) {
      boolean usesTwoSlots = nowMillis / 100 % 3 == 0;
      meanSlots.update(ACCOUNT, usesTwoSlots ? 2 : 1, true, nowMillis);
    }
    assertThat(meanSlots.mean(ACCOUNT, 60_000)).isCloseTo(4.0 / 3, within(0.05));
  }

  @Test
  public void shouldNotCountTimeWithoutWaitingRequests() {
    meanSlots.update(ACCOUNT, 4, true, 0);
    meanSlots.update(ACCOUNT, 0, false, 5_000);
    assertThat(meanSlots.mean(ACCOUNT, 90_000)).isCloseTo(4, within(1e-9));
  }

  @Test
  public void shouldDecreaseWhileNoRequestRuns() {
    meanSlots.update(ACCOUNT, 4, true, 0);
    meanSlots.update(ACCOUNT, 0, true, 10);
    assertThat(meanSlots.mean(ACCOUNT, 20_000)).isLessThan(0.1).isPositive();
  }
}
