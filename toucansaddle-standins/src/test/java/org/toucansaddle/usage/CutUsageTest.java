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

/** Usage tests of a fleet under network partitions between its daemons. */
public class CutUsageTest {

  private static final int ROUTERS = 4;
  private static final int SLOTS = 4;
  private static final int MAX_IN_FORCE_MILLIS = 8_000;

  private LocalFleet fleet;

  @BeforeMethod
  public void startFleet() throws IOException {
    fleet = LocalFleet.startWithRelays(ROUTERS);
    fleet.configure();
    fleet.startEngine("engine-1", SLOTS);
    fleet.startEngine("engine-2", SLOTS);
    fleet.await(() -> fleet.sendModelRequest(0, "warm up").outcome() == Outcome.WHOLE);
  }

  @AfterMethod(alwaysRun = true)
  public void stopFleet() throws Exception {
    fleet.close();
  }

  @DataProvider
  static Object[][] routers() {
    return new Object[][] {{0}, {3}};
  }

  private List<CompletableFuture<Caller.Result>> sendAll(String label, int count) {
    List<CompletableFuture<Caller.Result>> results = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String prompt = label + " " + i + " [tokens=60]";
      results.add(
          fleet
              .caller()
              .sendModelRequest(
                  fleet.callerAddress(i % ROUTERS), LocalFleet.API_KEY, "briefing", prompt, ""));
    }
    return results;
  }

  private static void assertAllComplete(List<CompletableFuture<Caller.Result>> results) {
    for (CompletableFuture<Caller.Result> result : results) {
      assertThat(result.join().outcome()).as(result.join().text()).isEqualTo(Outcome.WHOLE);
    }
  }

  @Test(dataProvider = "routers")
  public void shouldServeAndReplicateWhenOpenConnectionsToARouterBlackhole(int blackholedRouter) {
    List<CompletableFuture<Caller.Result>> before = sendAll("before", 40);
    fleet.relay(blackholedRouter).blackholeOpenConnections();
    long blackholedAtNanos = System.nanoTime();
    int exitCode =
        fleet.runCli(
            "account", "put", "newcomer", "--key-digest", LocalFleet.digest("n"), "--wait");
    long inForceMillis = (System.nanoTime() - blackholedAtNanos) / 1_000_000;
    assertThat(exitCode).isZero();
    assertThat(inForceMillis).isLessThanOrEqualTo(MAX_IN_FORCE_MILLIS);
    assertAllComplete(before);
    assertAllComplete(sendAll("after", 40));
  }

  @Test(dataProvider = "routers")
  public void shouldNeverRunMoreThanTheSlotsWhileARouterIsCutOff(int partitionedRouter) {
    List<CompletableFuture<Caller.Result>> before = sendAll("before", 60);
    fleet.relay(partitionedRouter).partition();
    LocalFleet.sleep(4_000);
    List<CompletableFuture<Caller.Result>> during = sendAll("during", 60);
    LocalFleet.sleep(3_000);
    fleet.relay(partitionedRouter).heal();
    assertAllComplete(before);
    assertAllComplete(during);
    for (JournalEntry sample : fleet.journalEntries("sample")) {
      assertThat(sample.fields().path("inside").asInt()).isLessThanOrEqualTo(SLOTS);
    }
  }
}
