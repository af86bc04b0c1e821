package org.toucansaddle.coordination.sharing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks how reported service is counted towards the balance of accounts. */
public class ServiceBalanceTest {

  private ServiceBalance balance;

  @BeforeMethod
  public void createBalance() {
    balance = new ServiceBalance(10_000);
    balance.report("r1", 1, Map.of());
    balance.report("r2", 1, Map.of());
    balance.setBacklogged(Set.of(1, 2));
  }

  private double lag(int account) {
    return balance.lag(account, a -> 0);
  }

  @Test
  public void shouldCountIncreasesOnce() {
    balance.report("r1", 1, Map.of(1, 100L));
    balance.report("r1", 1, Map.of(1, 100L));
    balance.report("r1", 1, Map.of(1, 40L));
    assertThat(lag(2)).isEqualTo(50);
  }

  @Test
  public void shouldLoseNothingWhenRouterRestartsFromZero() {
    balance.report("r1", 1, Map.of(1, 100L));
    balance.report("r1", 2, Map.of());
    balance.report("r1", 2, Map.of(1, 60L));
    assertThat(lag(2)).isEqualTo(80);
  }

  @Test
  public void shouldIgnoreLateReportOfEarlierIncarnation() {
    balance.report("r1", 2, Map.of(1, 60L));
    balance.report("r1", 1, Map.of(1, 900L));
    assertThat(lag(2)).isZero();
    assertThat(balance.routers()).containsExactlyInAnyOrder("r1", "r2");
  }

  @Test
  public void shouldDropTotalsOfRemovedRouter() {
    balance.report("r1", 1, Map.of(1, 60L));
    balance.removeRouter("r1");
    assertThat(balance.routers()).containsExactly("r2");
    assertThat(lag(2)).isEqualTo(30);
  }

  @Test
  public void shouldNotCountTotalsFromBeforeTheFirstReport() {
    balance.report("r3", 1, Map.of(1, 5_000L));
    assertThat(lag(2)).isZero();
  }

  @Test
  public void shouldGiveNoCreditForIdling() {
    balance.report("r1", 1, Map.of(1, 1_000L, 2, 900L));
    balance.setBacklogged(Set.of(1, 2, 3));
    assertThat(lag(3)).isLessThanOrEqualTo(lag(2));
  }

  @Test
  public void shouldKeepNoDebtFromUsingIdleCapacity() {
    balance.setBacklogged(Set.of(1));
    balance.report("r1", 1, Map.of(1, 9_000L));
    balance.setBacklogged(Set.of(1, 2));
    assertThat(lag(1)).isZero();
  }

  @Test
  public void shouldLimitDeviationOfServiceReportedAfterPartition() {
    balance.report("r2", 1, Map.of(1, 1_000_000L));
    balance.setBacklogged(Set.of(1, 2));
    assertThat(balance.gap()).isLessThanOrEqualTo(20_000);
  }

  @Test
  public void shouldIncludeUnreportedServiceInLag() {
    assertThat(balance.lag(2, account -> account == 1 ? 300 : 0)).isEqualTo(150);
  }
}
