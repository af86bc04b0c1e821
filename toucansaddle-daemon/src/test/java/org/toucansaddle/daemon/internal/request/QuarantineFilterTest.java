package org.toucansaddle.daemon.internal.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.retry.StrikeTable;
import org.toucansaddle.daemon.internal.problem.ProblemException;
import org.toucansaddle.daemon.internal.problem.RunState;

/**
 * Checks that a request during which upstreams died is rejected when a caller repeats it, and that
 * other requests pass.
 */
public class QuarantineFilterTest {

  private static final int STRIKE_LIMIT = 3;
  private static final long QUARANTINE_MILLIS = 60_000;
  private static final long DIGEST = 42;

  private StrikeTable strikes;
  private List<CallerRequest> passedRequests;
  private long now;

  @BeforeMethod
  public void createStrikeTable() {
    strikes = new StrikeTable(STRIKE_LIMIT, QUARANTINE_MILLIS);
    passedRequests = new ArrayList<>();
    now = 1_000;
  }

  private void send(long digest) {
    CallerRequest request = new CallerRequest(null, "r1", now);
    request.setDigest(digest);
    QuarantineFilter filter = new QuarantineFilter(strikes, () -> now);
    filter.filter(request, new FilterChain(List.of((r, chain) -> passedRequests.add(r)), null));
  }

  @DataProvider
  public Object[][] strikeCounts() {
    return new Object[][] {
      {0, true}, {STRIKE_LIMIT - 1, true}, {STRIKE_LIMIT, false}, {STRIKE_LIMIT + 1, false}
    };
  }

  @Test(dataProvider = "strikeCounts")
  public void shouldRejectRequestOnceStrikesReachLimit(int strikeCount, boolean shouldPass) {
    for (int i = 0; i < strikeCount; i++) {
      strikes.recordStrike(DIGEST, now);
    }
    ProblemException rejection = catchThrowableOfType(ProblemException.class, () -> send(DIGEST));
    assertThat(passedRequests).hasSize(shouldPass ? 1 : 0);
    assertThat(rejection == null).isEqualTo(shouldPass);
    if (!shouldPass) {
      assertThat(rejection.problem().runState()).isEqualTo(RunState.NOT_RUN);
      assertThat(rejection.problem().retryAfterSeconds().orElse(0)).isBetween(60, 61);
    }
  }

  @Test
  public void shouldPassOtherRequestsAndEndQuarantine() {
    for (int i = 0; i < STRIKE_LIMIT; i++) {
      strikes.recordStrike(DIGEST, now);
    }
    send(DIGEST + 1);
    assertThat(passedRequests).hasSize(1);
    now += QUARANTINE_MILLIS;
    send(DIGEST);
    assertThat(passedRequests).hasSize(2);
  }
}
