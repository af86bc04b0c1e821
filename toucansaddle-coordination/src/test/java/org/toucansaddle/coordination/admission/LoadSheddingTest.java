package org.toucansaddle.coordination.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.admission.LoadShedding.Others;

/** Tests which requests a router that is behind leaves to others. */
public class LoadSheddingTest {

  private static final Others IDLE = new Others(4, 0);

  /** Three times the limit that the target sets. */
  private static final ReadLag FAR_BEHIND = new ReadLag(270, 300);

  private SplittableRandom random;
  private LoadShedding shedding;
  private long now;

  @BeforeMethod
  public void createShedding() {
    random = new SplittableRandom(1);
    now = 1;
    shedding = new LoadShedding(() -> now, () -> random.nextDouble());
  }

  /** Returns the part of an account's requests that is refused beside a hot account. */
  private double refusedPart(String account, ReadLag lag, Others others) {
    int refused = 0;
    int requests = 0;
    for (int i = 0; i < 2_000; i++) {
      now += TimeUnit.MILLISECONDS.toNanos(4);
      boolean isSmall = i % 20 == 0;
      String sender = isSmall ? "small" : "hot";
      boolean refuses = shedding.refuses(sender, false, lag, others);
      if (sender.equals(account) && i > 200) {
        requests++;
        refused += refuses ? 1 : 0;
      }
    }
    return refused / (double) requests;
  }

  @DataProvider
  public Object[][] states() {
    return new Object[][] {
      // {lag, others, part of the hot account that is refused, from and to}
      {new ReadLag(20, 300), IDLE, 0.0, 0.0},
      {new ReadLag(89, 300), IDLE, 0.0, 0.0},
      {new ReadLag(135, 300), IDLE, 0.45, 0.6},
      {FAR_BEHIND, IDLE, 0.75, 0.9},
      {FAR_BEHIND, new Others(4, 2), 0.75, 0.9},
      {FAR_BEHIND, new Others(4, 3), 0.0, 0.0},
      {FAR_BEHIND, new Others(0, 0), 0.0, 0.0},
      {new ReadLag(200, 2_000), IDLE, 0.0, 0.0},
    };
  }

  // One hot account at one router: guards against callers who wait for it beside idle routers.
  @Test(dataProvider = "states")
  public void shouldRefusePartThatGrowsWithLagWhileOthersHaveRoom(
      ReadLag lag, Others others, double from, double to) {
    assertThat(refusedPart("hot", lag, others)).isBetween(from, to);
  }

  // The processor time of a router is shared: a small account must not pay for a hot one.
  @Test
  public void shouldRefuseNothingOfSmallAccountBesideHotOne() {
    assertThat(refusedPart("small", FAR_BEHIND, IDLE)).isZero();
  }

  // A caller has few retries; one that was refused before must be served.
  @Test
  public void shouldNeverRefuseCallerThatCameBack() {
    for (int i = 0; i < 1_000; i++) {
      assertThat(shedding.refuses("hot", true, FAR_BEHIND, IDLE)).isFalse();
    }
  }

  @Test
  public void shouldForgetAccountsThatLeft() {
    refusedPart("hot", FAR_BEHIND, IDLE);
    now += TimeUnit.SECONDS.toNanos(60);
    shedding.refuses("other", false, FAR_BEHIND, IDLE);
    int refused = 0;
    for (int i = 0; i < 100; i++) {
      refused += shedding.refuses("other", false, FAR_BEHIND, IDLE) ? 1 : 0;
    }
    assertThat(refused).isBetween(60, 95);
  }
}
