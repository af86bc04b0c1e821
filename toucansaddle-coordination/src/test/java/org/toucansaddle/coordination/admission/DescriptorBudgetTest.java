package org.toucansaddle.coordination.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.admission.DescriptorBudget.Holding;

/** Tests of {@link DescriptorBudget}. */
public class DescriptorBudgetTest {

  private static final int KINDS = 3;
  private static final int MAX_OPEN = 40;

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1}, {2}, {3}};
  }

  /** Guards against kinds of connections that are bounded one by one and not in sum. */
  @Test(dataProvider = "seeds")
  public void shouldStayWithinBudgetWhateverKindsArrive(int seed) {
    DescriptorBudget budget = new DescriptorBudget(MAX_OPEN);
    List<Deque<Holding>> kinds = createKinds();
    SplittableRandom random = new SplittableRandom(seed);
    for (int arrival = 0; arrival < 10_000; arrival++) {
      if (budget.makeRoom(closers(kinds))) {
        kinds.get(random.nextInt(KINDS)).add(budget.hold());
      }
      if (random.nextInt(4) == 0) {
        closeOldest(kinds.get(random.nextInt(KINDS)));
      }
      int held = kinds.stream().mapToInt(Deque::size).sum();
      assertThat(budget.openCount())
          .as("seed %d, arrival %d", seed, arrival)
          .isEqualTo(held)
          .isLessThanOrEqualTo(MAX_OPEN);
    }
    assertThat(budget.gaveWayCount()).isPositive();
  }

  @Test
  public void shouldCloseKindsInTheirOrder() {
    DescriptorBudget budget = new DescriptorBudget(KINDS);
    List<Deque<Holding>> kinds = createKinds();
    kinds.forEach(kind -> kind.add(budget.hold()));
    List<Integer> sizes = new ArrayList<>();
    List<Holding> underWay = new ArrayList<>();
    for (int arrival = 0; arrival < KINDS; arrival++) {
      assertThat(budget.makeRoom(closers(kinds))).isTrue();
      underWay.add(budget.hold());
      kinds.forEach(kind -> sizes.add(kind.size()));
    }
    assertThat(sizes).containsExactly(0, 1, 1, 0, 0, 1, 0, 0, 0);
    assertThat(budget.makeRoom(closers(kinds))).as("all requests are under way").isFalse();
    assertThat(budget.turnedAwayCount()).isEqualTo(1);
    underWay.get(0).close();
    assertThat(budget.makeRoom(closers(kinds))).isTrue();
  }

  @Test
  public void shouldReturnDescriptorOnce() {
    DescriptorBudget budget = new DescriptorBudget(1);
    Holding holding = budget.hold();
    assertThat(budget.isFull()).isTrue();
    holding.close();
    holding.close();
    assertThat(budget.openCount()).isZero();
  }

  private static List<Deque<Holding>> createKinds() {
    List<Deque<Holding>> kinds = new ArrayList<>();
    for (int kind = 0; kind < KINDS; kind++) {
      kinds.add(new ArrayDeque<>());
    }
    return kinds;
  }

  private static List<BooleanSupplier> closers(List<Deque<Holding>> kinds) {
    List<BooleanSupplier> closers = new ArrayList<>();
    kinds.forEach(kind -> closers.add(() -> closeOldest(kind)));
    return closers;
  }

  private static boolean closeOldest(Deque<Holding> kind) {
    Holding oldest = kind.pollFirst();
    if (oldest == null) {
      return false;
    }
    oldest.close();
    return true;
  }
}
