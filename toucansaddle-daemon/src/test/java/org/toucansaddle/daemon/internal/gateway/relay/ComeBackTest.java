package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

/**
 * Tests of {@link ComeBack}. After pauses of one to two seconds every answer that a caller came
 * back for was late: 1,514 of 3,855.
 */
public class ComeBackTest {

  @Test
  public void shouldLeaveHalfOfTheTargetForTheAnswer() {
    for (int i = 0; i < 1_000; i++) {
      assertThat(ComeBack.afterMillis(800)).isBetween(100L, 400L);
    }
  }

  @Test
  public void shouldSpreadCallersWhoWereSentAwayTogether() {
    Set<Long> pauses = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      pauses.add(ComeBack.afterMillis(800));
    }
    assertThat(pauses).hasSizeGreaterThan(100);
  }
}
