package org.toucansaddle.daemon.internal.gateway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link RequestedPause}. */
public class RequestedPauseTest {

  private final RequestedPause pause = new RequestedPause();

  private static long at(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  @Test
  public void shouldPermitNothingBeforeItsEnd() {
    RequestedPause fresh = new RequestedPause();
    assertThat(fresh.permits(at(0), 50)).isTrue();
    assertThat(fresh.begin(2_000, at(0))).isTrue();
    assertThat(fresh.permits(at(1_999), 0)).isFalse();
    assertThat(fresh.remainingMillis(at(500))).isBetween(1_500L, 1_501L);
    assertThat(fresh.permits(at(2_000), 0)).isTrue();
  }

  @DataProvider
  public Object[][] steps() {
    return new Object[][] {{0, 1}, {100, 2}, {550, 6}, {900, 10}};
  }

  /** Guards against a load that comes back all at once. */
  @Test(dataProvider = "steps")
  public void shouldPermitMoreAndMoreAfterItsEnd(int millisAfter, int underWayAtMost) {
    RequestedPause fresh = new RequestedPause();
    fresh.begin(2_000, at(0));
    assertThat(fresh.permits(at(2_000 + millisAfter), underWayAtMost - 1)).isTrue();
    assertThat(fresh.permits(at(2_000 + millisAfter), underWayAtMost)).isFalse();
    assertThat(fresh.permits(at(3_000), 1_000)).isTrue();
  }

  /** Guards against a later, shorter value that ends a pause before its time. */
  @Test
  public void shouldNotBeShortened() {
    RequestedPause fresh = new RequestedPause();
    fresh.begin(2_000, at(0));
    assertThat(fresh.begin(100, at(100))).isFalse();
    assertThat(fresh.isActive(at(1_900))).isTrue();
    assertThat(fresh.begin(3_000, at(100))).isTrue();
    assertThat(fresh.isActive(at(3_000))).isTrue();
  }

  /** Guards against one value that takes an upstream away for hours. */
  @Test
  public void shouldBeBounded() {
    pause.begin(TimeUnit.HOURS.toMillis(5), at(0));
    assertThat(pause.isActive(at(RequestedPause.MAX_MILLIS - 1))).isTrue();
    assertThat(pause.isActive(at(RequestedPause.MAX_MILLIS))).isFalse();
  }
}
