package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.standins.journal.JournalEntry;
import org.toucansaddle.standins.load.Caller;
import org.toucansaddle.standins.load.Caller.Outcome;

/** A fleet whose daemons lose each other. */
public class CutUsageTest {

  private static final int ROUTERS = 4;
  private static final int SLOTS = 4;
  private static final int IN_FORCE_MILLIS = 8_000;

  private LocalFleet fleet;

  @BeforeMethod
  public void startFleet() throws IOException {
    fleet = LocalFleet.startWithRelays(ROUTERS);
    fleet.configure();
    fleet.startEngine("engine-1", SLOTS);
    fleet.startEngine("engine-2", SLOTS);
    fleet.await(() -> fleet.ask(0, "warm up").outcome() == Outcome.WHOLE);
  }

  @AfterMethod(alwaysRun = true)
  public void stopFleet() throws Exception {
    fleet.close();
  }

  @DataProvider
  static Object[][] routers() {
    return new Object[][] {{0}, {3}};
  }

  private List<CompletableFuture<Caller.Result>> askAll(String what, int count) {
    List<CompletableFuture<Caller.Result>> results = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String prompt = what + " " + i + " [tokens=60]";
      results.add(
          fleet
              .caller()
              .sendModelRequest(
                  fleet.callers(i % ROUTERS), LocalFleet.KEY, "briefing", prompt, ""));
    }
    return results;
  }

  private static void assertWhole(List<CompletableFuture<Caller.Result>> results) {
    for (CompletableFuture<Caller.Result> result : results) {
      assertThat(result.join().outcome()).as(result.join().text()).isEqualTo(Outcome.WHOLE);
    }
  }

  @Test(dataProvider = "routers")
  public void shouldServeAndFollowWhenOpenConnectionsToARouterGoSilent(int silent) {
    List<CompletableFuture<Caller.Result>> before = askAll("before", 40);
    fleet.relay(silent).silenceOpenConnections();
    long silentAt = System.nanoTime();
    int exit =
        fleet.operate(
            "account", "put", "newcomer", "--key-digest", LocalFleet.digest("n"), "--wait");
    long millis = (System.nanoTime() - silentAt) / 1_000_000;
    assertThat(exit).isZero();
    assertThat(millis).isLessThanOrEqualTo(IN_FORCE_MILLIS);
    assertWhole(before);
    assertWhole(askAll("after", 40));
  }

  @Test(dataProvider = "routers")
  public void shouldNeverRunMoreThanTheSlotsWhileARouterIsCutOff(int cutOff) {
    List<CompletableFuture<Caller.Result>> before = askAll("before", 60);
    fleet.relay(cutOff).cut();
    LocalFleet.sleep(4_000);
    List<CompletableFuture<Caller.Result>> during = askAll("during", 60);
    LocalFleet.sleep(3_000);
    fleet.relay(cutOff).heal();
    assertWhole(before);
    assertWhole(during);
    for (JournalEntry sample : fleet.journal("sample")) {
      assertThat(sample.fields().path("inside").asInt()).isLessThanOrEqualTo(SLOTS);
    }
  }
}
