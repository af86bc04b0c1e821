package org.toucansaddle.coordination.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.admission.UnreadBudget.Holding;

/** Tests of {@link UnreadBudget}, named by the load that callers and upstreams bring. */
public class UnreadBudgetTest {

  private static final int READ_BYTES = 16 << 10;
  private static final int MAX_READS_HELD = 100;
  private static final long MAX_BYTES = MAX_READS_HELD * (long) READ_BYTES;
  private static final int SLOW_CALLERS = 400;
  private static final int QUICK_ACCOUNTS = 20;

  private final List<String> gaveWay = new ArrayList<>();
  private UnreadBudget budget;

  @BeforeMethod
  public void createBudget() {
    gaveWay.clear();
    budget = new UnreadBudget(MAX_BYTES);
  }

  private Holding open(String account, String call) {
    return budget.open(account, () -> gaveWay.add(call));
  }

  /** Guards against callers of one account that read nothing and cost others their responses. */
  @Test
  public void shouldKeepQuickCallersBesideHundredsOfSlowCallersOfOneAccount() {
    List<Holding> quick = new ArrayList<>();
    for (int account = 0; account < QUICK_ACCOUNTS; account++) {
      quick.add(open("quick-" + account, "quick-" + account));
    }
    for (int caller = 0; caller < SLOW_CALLERS; caller++) {
      open("slow", "slow").set(READ_BYTES, 0);
      Holding other = quick.get(caller % QUICK_ACCOUNTS);
      other.set(READ_BYTES, 0);
      other.set(0, 0);
      other.set(READ_BYTES / 2, 0);
      assertThat(budget.heldBytes()).isLessThanOrEqualTo(MAX_BYTES);
    }
    long heldByQuick = QUICK_ACCOUNTS * (long) READ_BYTES / 2;
    long kept = (MAX_BYTES - heldByQuick) / READ_BYTES;
    assertThat(gaveWay).containsOnly("slow");
    assertThat(gaveWay)
        .hasSizeBetween((int) (SLOW_CALLERS - kept), (int) (SLOW_CALLERS - kept + 1));
  }

  /** Guards against a caller that has just read and pays for one that reads nothing. */
  @Test
  public void shouldEndLongestUnreadCallOfAccountThatHoldsMost() {
    Holding reads = open("slow", "reads");
    reads.set(READ_BYTES, 0);
    open("slow", "stopped").set(READ_BYTES, 0);
    reads.set(0, READ_BYTES);
    open("other", "other").set(2L * READ_BYTES - 1, 0);
    open("slow", "new").set(MAX_BYTES - 4L * READ_BYTES + 2, 0);
    assertThat(gaveWay).containsExactly("stopped");
  }

  /** Guards against upstreams that begin large events and never complete them. */
  @Test
  public void shouldBoundUnfinishedEventsInSum() {
    for (int caller = 0; caller < SLOW_CALLERS; caller++) {
      open("streams", "call-" + caller).set(0, READ_BYTES);
    }
    assertThat(budget.heldBytes()).isEqualTo(MAX_BYTES);
    assertThat(gaveWay).hasSize(SLOW_CALLERS - MAX_READS_HELD).startsWith("call-0", "call-1");
  }

  /** Guards against a flood that is read at full size until calls have to give way. */
  @Test
  public void shouldReadLessForAccountThatHoldsMuchOnceHalfIsHeld() {
    Holding other = open("other", "other");
    other.set(READ_BYTES, 0);
    Holding slow = open("slow", "slow");
    slow.set(MAX_BYTES / 2 - READ_BYTES, 0);
    assertThat(slow.readBytes(READ_BYTES)).isEqualTo(READ_BYTES);
    slow.set(MAX_BYTES / 2, 0);
    assertThat(slow.readBytes(READ_BYTES)).isEqualTo(READ_BYTES / 8);
    assertThat(other.readBytes(READ_BYTES)).isEqualTo(READ_BYTES);
    assertThat(open("new", "new").readBytes(READ_BYTES)).isEqualTo(READ_BYTES);
    assertThat(gaveWay).isEmpty();
  }

  /** Guards against calls that end or give way and are counted for ever, or end twice. */
  @Test
  public void shouldCountNothingOfCallsThatEnded() {
    Holding left = open("a", "left");
    left.set(READ_BYTES, 0);
    left.close();
    left.close();
    left.set(READ_BYTES, 0);
    Holding tooLarge = open("a", "too-large");
    tooLarge.set(MAX_BYTES, 1);
    tooLarge.set(MAX_BYTES, 2);
    tooLarge.close();
    assertThat(budget.heldBytes()).isZero();
    assertThat(gaveWay).containsExactly("too-large");
  }

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1}, {2}, {3}};
  }

  /** Guards against sums that drift from what the calls hold. */
  @Test(dataProvider = "seeds")
  public void shouldHoldWhatCallsHoldWhateverTheyDo(int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int calls = 200;
    List<Holding> holdings = new ArrayList<>();
    long[] bytes = new long[calls];
    for (int call = 0; call < calls; call++) {
      int index = call;
      holdings.add(budget.open("account-" + call % 7, () -> bytes[index] = -1));
    }
    for (int step = 0; step < 20_000; step++) {
      int call = random.nextInt(calls);
      if (bytes[call] < 0) {
        holdings.set(call, budget.open("account-" + call % 7, () -> bytes[call] = -1));
      }
      long unread = random.nextBoolean() ? 0 : random.nextInt(2 * READ_BYTES);
      long unfinished = random.nextInt(READ_BYTES);
      bytes[call] = unread + unfinished;
      holdings.get(call).set(unread, unfinished);
      long sum = 0;
      for (long held : bytes) {
        sum += Math.max(0, held);
      }
      assertThat(budget.heldBytes())
          .as("seed %d, step %d", seed, step)
          .isEqualTo(sum)
          .isLessThanOrEqualTo(MAX_BYTES);
    }
    holdings.forEach(Holding::close);
    assertThat(budget.heldBytes()).isZero();
  }
}
