package org.toucansaddle.daemon.internal.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.protocol.generated.PaceEvidence;
import org.toucansaddle.protocol.generated.UpstreamWork;

/** Tests how {@link WorkSums} adds up evidence for the pace of upstreams. */
public class PaceSumsTest {

  private static final long AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private static PaceEvidence evidence(long startedAt, int kept, int behind, int ageMillis) {
    return PaceEvidence.newBuilder()
        .setStartedAtMillis(startedAt)
        .setKeptPace(kept)
        .setFellBehind(behind)
        .setFellBehindAgeMillis(ageMillis)
        .build();
  }

  @DataProvider
  public Object[][] pairs() {
    return new Object[][] {
      {evidence(7, 3, 1, 50), evidence(7, 4, 2, 20), evidence(7, 7, 3, 120)},
      {evidence(7, 3, 1, 50), evidence(7, 4, 0, 0), evidence(7, 7, 1, 150)},
      {evidence(7, 3, 0, 0), evidence(7, 4, 1, 30), evidence(7, 7, 1, 130)},
      {evidence(7, 3, 1, 50), evidence(8, 4, 2, 20), evidence(8, 4, 2, 120)},
      {evidence(8, 3, 1, 50), evidence(7, 4, 2, 20), evidence(8, 3, 1, 150)},
    };
  }

  @Test(dataProvider = "pairs")
  public void shouldAddEvidenceOfTheLatestStart(PaceEvidence a, PaceEvidence b, PaceEvidence sum) {
    WorkSums sums = new WorkSums();
    sums.add(List.of(work().setPace(a).build()), AGE_NANOS);
    sums.add(List.of(work().build()), AGE_NANOS);
    sums.add(List.of(work().setPace(b).build()), AGE_NANOS);

    assertThat(sums.values()).singleElement().extracting(UpstreamWork::getPace).isEqualTo(sum);
  }

  private static UpstreamWork.Builder work() {
    return UpstreamWork.newBuilder().setUpstream("u").setRequests(1);
  }
}
