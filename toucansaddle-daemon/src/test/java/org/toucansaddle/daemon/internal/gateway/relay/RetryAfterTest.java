package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.admission.LoadShedding.Others;

/**
 * Tests of {@link RetryAfter}. Delays of one to two seconds made every response to a retry miss its
 * target: 1,514 of 3,855.
 */
public class RetryAfterTest {

  @Test
  public void shouldLeaveHalfOfTargetForResponse() {
    for (int i = 0; i < 1_000; i++) {
      assertThat(RetryAfter.randomDelayMillis(800)).isBetween(100L, 400L);
    }
  }

  @DataProvider
  public Object[][] others() {
    // {other routers, smallest and largest delay}
    return new Object[][] {
      {new Others(4, 1), 1L, 20L}, {new Others(4, 3), 100L, 400L}, {new Others(0, 0), 100L, 400L},
    };
  }

  /** Guards against callers who come back at once to a router that is the only one with room. */
  @Test(dataProvider = "others")
  public void shouldReturnSoonOnlyToOtherRouters(Others others, long from, long to) {
    for (int i = 0; i < 100; i++) {
      assertThat(RetryAfter.unreadDelayMillis(others, 800)).isBetween(from, to);
    }
  }

  @Test
  public void shouldSpreadRetriesOfCallersRefusedTogether() {
    Set<Long> delays = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      delays.add(RetryAfter.randomDelayMillis(800));
    }
    assertThat(delays).hasSizeGreaterThan(100);
  }
}
