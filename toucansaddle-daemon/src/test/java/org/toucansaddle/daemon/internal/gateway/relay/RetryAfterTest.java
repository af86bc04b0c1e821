package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

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

  @Test
  public void shouldSpreadRetriesOfCallersRefusedTogether() {
    Set<Long> delays = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      delays.add(RetryAfter.randomDelayMillis(800));
    }
    assertThat(delays).hasSizeGreaterThan(100);
  }
}
