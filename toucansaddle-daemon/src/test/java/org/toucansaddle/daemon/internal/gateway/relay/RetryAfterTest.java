package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

/**
 * Tests of {@link RetryAfter}. After pauses of one to two seconds every answer that a caller came
 * back for was late: 1,514 of 3,855.
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
    Set<Long> pauses = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      pauses.add(RetryAfter.randomDelayMillis(800));
    }
    assertThat(pauses).hasSizeGreaterThan(100);
  }
}
