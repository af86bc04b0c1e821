package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.internal.problem.RunState;

/** Tests of what is known of a request whose attempts were sent. */
public class SentAttemptsTest {

  @DataProvider
  public Object[][] attempts() {
    return new Object[][] {
      {0, 0, RunState.NOT_RUN},
      {1, 0, RunState.UNKNOWN},
      {1, 1, RunState.NOT_RUN},
      {2, 1, RunState.UNKNOWN},
      {3, 3, RunState.NOT_RUN},
    };
  }

  @Test(dataProvider = "attempts")
  public void shouldKnowThatRequestHasNotRunOnlyIfEachUpstreamSaidSo(
      int sent, int notRun, RunState expected) {
    SentAttempts attempts = new SentAttempts();
    for (int i = 0; i < sent; i++) {
      attempts.recordSent();
    }
    for (int i = 0; i < notRun; i++) {
      attempts.recordNotRun();
    }
    assertThat(attempts.runState()).isEqualTo(expected);
    assertThat(attempts.count()).isEqualTo(sent);
  }
}
