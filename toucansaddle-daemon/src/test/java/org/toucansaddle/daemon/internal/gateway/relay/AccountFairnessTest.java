package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.internal.gateway.relay.SharedPoolSimulation.Fleet;
import org.toucansaddle.daemon.internal.gateway.relay.SharedPoolSimulation.Second;
import org.toucansaddle.daemon.internal.gateway.relay.SharedPoolSimulation.Traffic;
import org.toucansaddle.daemon.internal.gateway.relay.SharedPoolSimulation.Work;

/** Tests that accounts get fair shares of engines under patterns of load, by simulation. */
public class AccountFairnessTest {

  private static final int WINDOW_SECONDS = 6;
  private static final int HOT_FROM_SECOND = 3;
  private static final int SECONDS = 18;

  private static final List<Work> MIX =
      List.of(
          new Work(0.27, 800, 5_382, 6_610, 380),
          new Work(0.28, 800, 198, 628, 290),
          new Work(0.45, 1_200, 568, 1_800, 25));

  /** Engines whose slots are used up before their rated tokens. */
  private static final Fleet FEW_SLOTS = new Fleet(18, 14, 5, 1_120_000);

  @DataProvider
  public Object[][] seeds() {
    return IntStream.rangeClosed(1, 8)
        .mapToObj(seed -> new Object[] {(long) seed})
        .toArray(Object[][]::new);
  }

  /**
   * Hot account at most routers, another one above its share at two, slots that bind before the
   * rated tokens. Guards against free slots that go to the account which asks most often.
   */
  @Test(dataProvider = "seeds")
  public void shouldShareSlotsByAccountWhenSlotsBindBeforeRatedTokens(long seed) {
    SharedPoolSimulation simulation = new SharedPoolSimulation(FEW_SLOTS, MIX, seed);
    addSmallAccounts(simulation, 12, 2.4);
    simulation.addTraffic(new Traffic("hot", 200, range(0, 11), HOT_FROM_SECOND));
    simulation.addTraffic(new Traffic("two-routers", 40, range(11, 13), HOT_FROM_SECOND));
    simulation.run(SECONDS);
    assertThat(unfairWindows(simulation)).as("seed %d", seed).isEmpty();
  }

  /**
   * Bursts of five accounts in turn, each of which goes on asking for more than its share after its
   * burst. Guards against an account that gets far less than its share until its burst is
   * forgotten.
   */
  @Test(dataProvider = "seeds")
  public void shouldGiveShareToAccountsWhoseBurstsHaveEnded(long seed) {
    SharedPoolSimulation simulation = new SharedPoolSimulation(FEW_SLOTS, MIX, seed);
    addSmallAccounts(simulation, 12, 2.4);
    for (int index = 0; index < 5; index++) {
      List<Integer> routers = range(3 * index, 3 * index + 3);
      double burstAt = HOT_FROM_SECOND + 2.5 * index;
      simulation.addTraffic(new Traffic("bursty" + index, 25, routers, 0));
      simulation.addTraffic(new Traffic("bursty" + index, 250, routers, burstAt, burstAt + 2.5));
    }
    simulation.run(SECONDS);
    assertThat(unfairWindows(simulation)).as("seed %d", seed).isEmpty();
  }

  private static void addSmallAccounts(
      SharedPoolSimulation simulation, int accounts, double perSecond) {
    for (int index = 0; index < accounts; index++) {
      simulation.addTraffic(new Traffic("small" + index, perSecond, range(index, index + 1), 0));
    }
  }

  private static List<Integer> range(int from, int to) {
    return IntStream.range(from, to).boxed().toList();
  }

  /** Returns the windows in which an account waited all through and got less than it may. */
  private static List<String> unfairWindows(SharedPoolSimulation simulation) {
    List<String> found = new ArrayList<>();
    for (int from = HOT_FROM_SECOND + 1; from + WINDOW_SECONDS <= SECONDS; from++) {
      String best = "";
      long bestBegun = -1;
      for (String account : simulation.accounts()) {
        long begun = begun(simulation, account, from);
        if (begun > bestBegun) {
          best = account;
          bestBegun = begun;
        }
      }
      for (String account : simulation.accounts()) {
        double owed = -3.0 * largest(simulation, account, from);
        boolean waited = true;
        for (int second = from; second < from + WINDOW_SECONDS; second++) {
          Second own = simulation.second(account, second);
          waited &= own.refusals > 0;
          owed += Math.min(own.asked, simulation.second(best, second).begun) / 2.0;
        }
        long begun = begun(simulation, account, from);
        if (waited && begun < owed) {
          found.add(
              "from %d s: %s got %d of %.0f owed at least, %s got %d"
                  .formatted(from, account, begun, owed, best, bestBegun));
        }
      }
    }
    return found;
  }

  private static long begun(SharedPoolSimulation simulation, String account, int from) {
    return IntStream.range(from, from + WINDOW_SECONDS)
        .mapToLong(second -> simulation.second(account, second).begun)
        .sum();
  }

  private static long largest(SharedPoolSimulation simulation, String account, int from) {
    return IntStream.range(from, from + WINDOW_SECONDS)
        .mapToLong(second -> simulation.second(account, second).largest)
        .max()
        .orElse(0);
  }
}
