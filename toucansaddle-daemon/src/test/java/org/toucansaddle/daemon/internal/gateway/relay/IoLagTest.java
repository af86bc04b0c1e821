package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of {@link IoLag}. */
public class IoLagTest {

  private static final long SAMPLE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final IoLag lag = new IoLag();
  private long now;

  private void addSamples(int count, long lagMillis) {
    for (int i = 0; i < count; i++) {
      now += SAMPLE_NANOS + TimeUnit.MILLISECONDS.toNanos(lagMillis);
      lag.addSample(TimeUnit.MILLISECONDS.toNanos(lagMillis), now);
    }
  }

  @Test
  public void shouldFollowLastingLag() {
    addSamples(20, 0);
    addSamples(5, 1_000);
    assertThat(lag.averageMillis()).isCloseTo(1_000, within(10.0));
    assertThat(lag.drainMaxMillis()).isEqualTo(1_000);
  }

  @Test
  public void shouldGiveLittleWeightToOneShortPause() {
    addSamples(20, 0);
    addSamples(1, 100);
    assertThat(lag.averageMillis()).isLessThan(40);
  }

  @Test
  public void shouldForgetLagThatIsOver() {
    addSamples(5, 1_000);
    addSamples(30, 0);
    assertThat(lag.averageMillis()).isLessThan(5);
    assertThat(lag.drainMaxMillis()).isEqualTo(1_000);
    assertThat(lag.drainMaxMillis()).isZero();
  }
}
