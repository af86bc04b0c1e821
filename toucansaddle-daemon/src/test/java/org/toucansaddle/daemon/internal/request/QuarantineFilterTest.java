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

/** Pattern: a request that upstreams died of comes again, beside others. */
public class QuarantineFilterTest {

  private static final int LIMIT = 3;
  private static final long QUARANTINE_MILLIS = 60_000;
  private static final long DIGEST = 42;

  private StrikeTable strikes;
  private List<CallerRequest> passed;
  private long now;

  @BeforeMethod
  public void createTable() {
    strikes = new StrikeTable(LIMIT, QUARANTINE_MILLIS);
    passed = new ArrayList<>();
    now = 1_000;
  }

  private void send(long digest) {
    CallerRequest request = new CallerRequest(null, "r1", now);
    request.setDigest(digest);
    QuarantineFilter filter = new QuarantineFilter(strikes, () -> now);
    filter.filter(request, new FilterChain(List.of((r, chain) -> passed.add(r)), null));
  }

  @DataProvider
  public Object[][] strikesBefore() {
    return new Object[][] {{0, true}, {LIMIT - 1, true}, {LIMIT, false}, {LIMIT + 1, false}};
  }

  @Test(dataProvider = "strikesBefore")
  public void shouldRefuseFromTheLimitOn(int count, boolean passes) {
    for (int i = 0; i < count; i++) {
      strikes.strike(DIGEST, now);
    }
    ProblemException refused = catchThrowableOfType(ProblemException.class, () -> send(DIGEST));
    assertThat(passed).hasSize(passes ? 1 : 0);
    assertThat(refused == null).isEqualTo(passes);
    if (!passes) {
      assertThat(refused.problem().runState()).isEqualTo(RunState.NOT_RUN);
      assertThat(refused.problem().retryAfterSeconds().orElse(0)).isBetween(60, 61);
    }
  }

  @Test
  public void shouldLetOtherRequestsPassAndForgetInTime() {
    for (int i = 0; i < LIMIT; i++) {
      strikes.strike(DIGEST, now);
    }
    send(DIGEST + 1);
    assertThat(passed).hasSize(1);
    now += QUARANTINE_MILLIS;
    send(DIGEST);
    assertThat(passed).hasSize(2);
  }
}
