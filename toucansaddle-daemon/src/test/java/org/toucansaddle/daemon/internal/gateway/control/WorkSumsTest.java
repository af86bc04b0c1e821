package org.toucansaddle.daemon.internal.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.protocol.generated.LoadNotice;
import org.toucansaddle.protocol.generated.UpstreamWork;

/** Tests of {@link WorkSums}. */
public class WorkSumsTest {

  private static LoadNotice notice(int running, long startedAtMillis, int ageMillis) {
    return LoadNotice.newBuilder()
        .setRunning(running)
        .setSlots(8)
        .setStartedAtMillis(startedAtMillis)
        .setAgeMillis(ageMillis)
        .build();
  }

  private static UpstreamWork work(LoadNotice notice) {
    return UpstreamWork.newBuilder()
        .setUpstream("u")
        .setRequests(2)
        .setObservedMillis(300)
        .setNominalMillis(100)
        .setLoad(notice)
        .build();
  }

  @DataProvider
  public Object[][] notices() {
    return new Object[][] {
      {notice(1, 5, 100), 0, notice(2, 5, 50), 0, notice(2, 5, 50)},
      {notice(1, 5, 100), 0, notice(2, 5, 50), 70, notice(1, 5, 100)},
      {notice(1, 6, 900), 0, notice(2, 5, 50), 0, notice(1, 6, 900)},
      {notice(1, 5, 10), 30, notice(2, 6, 50), 0, notice(2, 6, 50)},
    };
  }

  @Test(dataProvider = "notices")
  public void shouldKeepTheNewestWordOfTheLatestStart(
      LoadNotice first, int firstMillis, LoadNotice second, int secondMillis, LoadNotice newest) {
    WorkSums sums = new WorkSums();
    sums.add(List.of(work(first)), TimeUnit.MILLISECONDS.toNanos(firstMillis));
    sums.add(List.of(work(second)), TimeUnit.MILLISECONDS.toNanos(secondMillis));
    UpstreamWork sum = sums.values().iterator().next();
    assertThat(sum.getLoad()).isEqualTo(newest);
    assertThat(sum.getRequests()).isEqualTo(4);
    assertThat(sum.getObservedMillis()).isEqualTo(600);
    assertThat(sum.getNominalMillis()).isEqualTo(200);
  }

  @Test
  public void shouldKeepAWordBesideWorkWithoutOne() {
    WorkSums sums = new WorkSums();
    sums.add(List.of(work(notice(3, 5, 10))), TimeUnit.MILLISECONDS.toNanos(25));
    sums.add(List.of(UpstreamWork.newBuilder().setUpstream("u").build()), 0);
    assertThat(sums.values())
        .singleElement()
        .extracting(UpstreamWork::getLoad)
        .isEqualTo(notice(3, 5, 35));
  }
}
