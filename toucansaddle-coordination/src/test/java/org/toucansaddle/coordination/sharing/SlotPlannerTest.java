package org.toucansaddle.coordination.sharing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks how slots are divided among accounts and routers. */
public class SlotPlannerTest {

  private static AccountDemand waiting(int count) {
    return new AccountDemand(count, 0);
  }

  @DataProvider
  static Object[][] shares() {
    return new Object[][] {
      {"equal demands", 12, new int[] {100, 100, 100}, new int[] {4, 4, 4}},
      {
        "a small demand leaves its rest to the others",
        12,
        new int[] {2, 100, 100},
        new int[] {2, 5, 5}
      },
      {"less demand than slots", 12, new int[] {2, 3, 1}, new int[] {2, 3, 1}},
      {"one account alone gets all", 12, new int[] {100, 0, 0}, new int[] {12, 0, 0}},
    };
  }

  @Test(dataProvider = "shares")
  public void shouldDivideMaxMinFair(String name, int slots, int[] demands, int[] expected) {
    Map<Integer, AccountDemand> perAccount = new TreeMap<>();
    for (int a = 0; a < demands.length; a++) {
      perAccount.put(a, waiting(demands[a]));
    }
    SlotPlan plan = SlotPlanner.plan(slots, Map.of("r", perAccount), account -> 1);
    for (int a = 0; a < demands.length; a++) {
      assertThat(plan.quota("r", a)).as("%s, account %d", name, a).isEqualTo(expected[a]);
    }
  }

  @Test
  public void shouldGiveHigherQuotaToHigherWeight() {
    Map<Integer, AccountDemand> demands = Map.of(1, waiting(50), 2, waiting(50));
    SlotPlan plan = SlotPlanner.plan(12, Map.of("r", demands), account -> account == 1 ? 2 : 1);
    assertThat(plan.quota("r", 1)).isEqualTo(8);
  }

  @Test
  public void shouldKeepSlotsWhereRequestsRun() {
    Map<String, Map<Integer, AccountDemand>> demands =
        Map.of("a", Map.of(1, new AccountDemand(10, 4)), "b", Map.of(1, new AccountDemand(10, 0)));
    SlotPlan plan = SlotPlanner.plan(4, demands, account -> 1);
    assertThat(plan.quota("a", 1)).isGreaterThanOrEqualTo(3);
  }

  @Test
  public void shouldNeitherWasteNorExceedNorStarveForAnyDemand() {
    SplittableRandom random = new SplittableRandom(7);
    for (int round = 0; round < 3_000; round++) {
      int slots = 1 + random.nextInt(60);
      Map<String, Map<Integer, AccountDemand>> demands = randomDemands(random);
      SlotPlan plan = SlotPlanner.plan(slots, demands, account -> 0.2 + account % 3);
      int total = demands.values().stream().mapToInt(SlotPlannerTest::total).sum();
      int planned = demands.keySet().stream().mapToInt(plan::routerTotal).sum();
      assertThat(planned).as("round %d", round).isEqualTo(Math.min(slots, total));
      assertQuotasWithinDemand(round, slots, demands, plan);
    }
  }

  private static Map<String, Map<Integer, AccountDemand>> randomDemands(SplittableRandom random) {
    Map<String, Map<Integer, AccountDemand>> demands = new TreeMap<>();
    for (int r = 0; r < 1 + random.nextInt(5); r++) {
      Map<Integer, AccountDemand> perAccount = new TreeMap<>();
      for (int a = 0; a < random.nextInt(8); a++) {
        perAccount.put(a, new AccountDemand(random.nextInt(20), random.nextInt(6)));
      }
      demands.put("r" + r, perAccount);
    }
    return demands;
  }

  private static int total(Map<Integer, AccountDemand> demands) {
    return demands.values().stream().mapToInt(AccountDemand::total).sum();
  }

  private static void assertQuotasWithinDemand(
      int round, int slots, Map<String, Map<Integer, AccountDemand>> demands, SlotPlan plan) {
    Map<Integer, Integer> demandByAccount = new TreeMap<>();
    demands.forEach(
        (router, perAccount) ->
            perAccount.forEach(
                (account, demand) -> {
                  demandByAccount.merge(account, demand.total(), Integer::sum);
                  assertThat(plan.quota(router, account))
                      .as("round %d", round)
                      .isLessThanOrEqualTo(demand.total());
                }));
    demandByAccount.values().removeIf(count -> count == 0);
    if (demandByAccount.size() <= slots) {
      demandByAccount.forEach(
          (account, count) ->
              assertThat(plan.accountTotal(account)).as("round %d", round).isPositive());
    }
  }
}
