package org.toucansaddle.coordination.sharing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.assertj.core.data.Offset;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.sharing.SharedThroughput.Load;

/** Tests of {@link SharedThroughput}. */
public class SharedThroughputTest {

  private static final double RATED = 1_000_000;
  private static final double CARRIED = 300_000;

  private SharedThroughput throughput;
  private long nowNanos;

  @BeforeMethod
  public void createThroughput() {
    throughput = new SharedThroughput();
    nowNanos = TimeUnit.SECONDS.toNanos(10);
  }

  private double update(Load load, int steps) {
    double tokens = 0;
    for (int step = 0; step < steps; step++) {
      nowNanos += TimeUnit.MILLISECONDS.toNanos(100);
      tokens = throughput.update(load, nowNanos);
    }
    return tokens;
  }

  private static Load fullPool() {
    return new Load(RATED, CARRIED, CARRIED, 500_000);
  }

  private static Load quietPool(double work) {
    return new Load(RATED, work, work, 0);
  }

  @Test
  public void shouldShareMoreThanRatedWhileItIsNotUsedUp() {
    assertThat(update(quietPool(0.9 * RATED), 10)).isGreaterThan(RATED);
    assertThat(throughput.isLimited()).isFalse();
  }

  /** Guards against shares of a throughput that is not reached, so that no account is above its. */
  @Test
  public void shouldShareWhatFullPoolCarries() {
    double tokens = update(fullPool(), 1);
    assertThat(tokens).isBetween(CARRIED, 1.2 * CARRIED);
    assertThat(throughput.isLimited()).isTrue();
  }

  @Test
  public void shouldGrowBackToRatedOncePoolHasRoom() {
    double limited = update(fullPool(), 1);
    double next = update(quietPool(CARRIED), 1);
    assertThat(next).isGreaterThan(limited);
    assertThat(update(quietPool(CARRIED), 100)).isGreaterThanOrEqualTo(RATED);
    assertThat(throughput.isLimited()).isFalse();
  }

  /** Guards against shares that shrink with what they themselves keep out of the pool. */
  @Test
  public void shouldNotTakeWhatSmallSharesLeftForWhatPoolCarries() {
    update(fullPool(), 1);
    Load limitedByShares = new Load(RATED, CARRIED / 3, CARRIED / 3, CARRIED / 10);
    assertThat(update(limitedByShares, 5)).isGreaterThan(0.9 * CARRIED);
  }

  @Test
  public void shouldShareLessWhenPoolCarriesLessForLong() {
    update(fullPool(), 1);
    Load smallerPool = new Load(RATED, CARRIED / 3, CARRIED / 3, CARRIED);
    assertThat(update(smallerPool, 60)).isLessThan(0.5 * CARRIED);
  }

  @Test
  public void shouldNotCountFewTurnedAwayAsFullPool() {
    update(new Load(RATED, 490_000, 490_000, 10_000), 10);
    assertThat(throughput.isLimited()).isFalse();
  }

  @Test
  public void shouldShareTokensThatNeedNoWorkToo() {
    Load half = new Load(RATED, 800_000, 400_000, 0);
    assertThat(update(half, 1)).isCloseTo(2 * 1.01 * RATED, Offset.offset(1.0));
  }
}
