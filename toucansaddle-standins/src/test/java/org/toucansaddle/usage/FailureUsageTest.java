package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.standins.engine.ExpectedCompletion;
import org.toucansaddle.standins.engine.StandinEngine;
import org.toucansaddle.standins.journal.JournalEntry;
import org.toucansaddle.standins.load.Caller;
import org.toucansaddle.standins.load.Caller.Outcome;

/** Usage tests of a fleet during failures of routers and engines. */
public class FailureUsageTest {

  private LocalFleet fleet;

  @BeforeMethod
  public void startFleet() throws IOException {
    fleet = LocalFleet.start(3);
    fleet.configure();
  }

  @AfterMethod(alwaysRun = true)
  public void stopFleet() throws Exception {
    fleet.close();
  }

  private void startEngines() {
    fleet.startEngine("engine-1", 4);
    fleet.startEngine("engine-2", 4);
    fleet.await(() -> fleet.sendModelRequest(0, "warm up").outcome() == Outcome.WHOLE);
    LocalFleet.sleep(500);
  }

  private List<CompletableFuture<Caller.Result>> sendMany(int count, int tokens) {
    List<CompletableFuture<Caller.Result>> results = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String prompt = "question " + i + " [tokens=" + tokens + "]";
      String router = fleet.callerAddress(i % 2);
      results.add(
          fleet.caller().sendModelRequest(router, LocalFleet.API_KEY, "summary", prompt, ""));
    }
    return results;
  }

  private void setFault(String engine, String fault, boolean on) {
    String body = "{\"fault\":\"" + fault + "\",\"on\":" + on + "}";
    HttpRequest call = HttpRequest.post(fleet.engineAddress(engine), "/standin/fault", body);
    fleet.client().send(call, Duration.ofSeconds(5)).join();
  }

  @DataProvider
  static Object[][] engineFaults() {
    return new Object[][] {{"silent"}, {"close"}, {"cross"}, {"freeze"}};
  }

  @Test(dataProvider = "engineFaults")
  public void shouldReturnCompleteAnswerToEachCallerDuringEngineFaults(String fault) {
    startEngines();
    List<CompletableFuture<Caller.Result>> results = sendMany(12, 120);
    LocalFleet.sleep(200);
    setFault("engine-1", fault, true);
    LocalFleet.sleep(1_500);
    setFault("engine-1", fault, false);
    results.forEach(r -> assertThat(r.join().outcome()).isEqualTo(Outcome.WHOLE));
  }

  @Test
  public void shouldAnswerThroughOtherRoutersWhenRouterStops() {
    startEngines();
    List<CompletableFuture<Caller.Result>> results = sendMany(8, 60);
    fleet.daemon(2).close();
    results.forEach(
        r -> assertThat(r.join().outcome()).as(r.join().text()).isEqualTo(Outcome.WHOLE));
    fleet.await(() -> fleet.sendModelRequest(0, "after the stop").outcome() == Outcome.WHOLE);
    fleet.await(() -> fleet.sendModelRequest(1, "after the stop").outcome() == Outcome.WHOLE);
  }

  @Test
  public void shouldCompleteRunningRequestsOnGracefulShutdown() {
    startEngines();
    List<CompletableFuture<Caller.Result>> results = sendMany(10, 200);
    LocalFleet.sleep(200);
    fleet.daemon(0).shutDown();
    results.forEach(r -> assertThat(r.join().outcome()).isEqualTo(Outcome.WHOLE));
  }

  @Test
  public void shouldSendNothingToLeavingEngineAfterThreeSeconds() {
    startEngines();
    long leftAtMillis = System.currentTimeMillis();
    HttpRequest leave = HttpRequest.post(fleet.engineAddress("engine-1"), "/standin/leave", "{}");
    fleet.client().send(leave, Duration.ofSeconds(5)).join();
    while (System.currentTimeMillis() < leftAtMillis + 5_000) {
      sendMany(4, 10).forEach(CompletableFuture::join);
    }
    for (JournalEntry start : fleet.journalEntries("start")) {
      if (start.text("engine").equals("engine-1")) {
        assertThat(start.timeMillis()).isLessThanOrEqualTo(leftAtMillis + 3_000);
      }
    }
  }

  @Test
  public void shouldSendNothingToSilentEngineAfterThreeSeconds() {
    StandinEngine silentEngine = fleet.startEngine("engine-1", 4);
    fleet.startEngine("engine-2", 4);
    fleet.await(() -> fleet.sendModelRequest(0, "warm up").outcome() == Outcome.WHOLE);
    silentEngine.close();
    LocalFleet.sleep(3_000);
    for (int i = 0; i < 10; i++) {
      Caller.Result result = fleet.sendModelRequest(i % 3, "after silence " + i);
      assertThat(result.outcome()).as("request %d: %s", i, result.text()).isEqualTo(Outcome.WHOLE);
    }
  }

  @Test
  public void shouldQuarantineRequestThatCrashesEnginesAndServeOtherRequests() {
    for (int i = 1; i <= 5; i++) {
      fleet.startEngine("engine-" + i, 4);
    }
    fleet.await(() -> fleet.sendModelRequest(0, "warm up").outcome() == Outcome.WHOLE);
    LocalFleet.sleep(1_500);
    List<CompletableFuture<Caller.Result>> otherResults = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      String prompt = "neighbour " + i + " [tokens=150]";
      String router = fleet.callerAddress(0);
      otherResults.add(
          fleet.caller().sendModelRequest(router, LocalFleet.API_KEY, "summary", prompt, ""));
    }
    LocalFleet.sleep(100);
    String crashingPrompt = "poison [crash]";
    Caller.Result firstResult = fleet.sendModelRequest(0, crashingPrompt);
    assertThat(firstResult.text()).contains("quarantined");
    int startCount = countStarts(crashingPrompt);
    assertThat(startCount).isEqualTo(3);
    Caller.Result repeated = fleet.sendModelRequest(1, crashingPrompt);
    assertThat(repeated.text()).contains("quarantined");
    assertThat(repeated.runState()).isEqualTo("not-run");
    assertThat(countStarts(crashingPrompt)).isEqualTo(startCount);
    for (CompletableFuture<Caller.Result> otherResult : otherResults) {
      Caller.Result result = otherResult.join();
      assertThat(result.outcome()).as(result.text()).isEqualTo(Outcome.WHOLE);
    }
  }

  /** Guards against routers that each see three crashes before they refuse a request. */
  @Test
  public void shouldCountCrashesUnderEqualRequestsOfSeveralRoutersTogether() {
    for (int i = 1; i <= 10; i++) {
      fleet.startEngine("engine-" + i, 4);
    }
    for (int i = 0; i < 3; i++) {
      int router = i;
      fleet.await(() -> fleet.sendModelRequest(router, "warm up").outcome() == Outcome.WHOLE);
    }
    LocalFleet.sleep(1_500);
    String crashingPrompt = "poison [crash]";
    List<CompletableFuture<Caller.Result>> results = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      String router = fleet.callerAddress(i);
      results.add(
          fleet
              .caller()
              .sendModelRequest(router, LocalFleet.API_KEY, "summary", crashingPrompt, ""));
    }
    for (CompletableFuture<Caller.Result> result : results) {
      assertThat(result.join().text()).contains("quarantined");
    }
    // Three crashes, and one more run that each router may have started before it knew of them.
    assertThat(countStarts(crashingPrompt)).isLessThanOrEqualTo(6);
  }

  /** A refused connection executes nothing, so it must not use up the retry budget. */
  @Test
  public void shouldAnswerAllRequestsWhileMostEnginesRefuseConnections() {
    List<StandinEngine> stoppedEngines = new ArrayList<>();
    for (int i = 1; i <= 5; i++) {
      stoppedEngines.add(fleet.startEngine("engine-" + i, 12));
    }
    fleet.startEngine("engine-6", 12);
    fleet.await(() -> fleet.sendModelRequest(0, "warm up").outcome() == Outcome.WHOLE);
    LocalFleet.sleep(1_500);
    stoppedEngines.forEach(StandinEngine::close);
    List<CompletableFuture<Caller.Result>> results = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      String prompt = "question " + i + " [tokens=5]";
      results.add(
          fleet
              .caller()
              .sendModelRequest(fleet.callerAddress(0), LocalFleet.API_KEY, "summary", prompt, ""));
    }
    for (CompletableFuture<Caller.Result> result : results) {
      assertThat(result.join().outcome()).as(result.join().text()).isEqualTo(Outcome.WHOLE);
    }
  }

  private int countStarts(String prompt) {
    String hash = Long.toHexString(ExpectedCompletion.promptHash(prompt));
    return (int)
        fleet.journalEntries("start").stream().filter(s -> s.text("prompt").equals(hash)).count();
  }

  @Test
  public void shouldReportNotRunWhenNoEngineStarted() {
    Caller.Result result = fleet.sendModelRequest(0, "nobody serves this");
    assertThat(result.outcome()).isEqualTo(Outcome.PROBLEM);
    assertThat(result.runState()).isEqualTo("not-run");
    assertThat(fleet.journalEntriesIfPresent("start")).isEmpty();
  }

  @Test
  public void shouldNotReportNotRunAfterEngineStarted() {
    fleet.startEngine("engine-1", 4);
    fleet.await(() -> fleet.sendModelRequest(0, "warm up").outcome() == Outcome.WHOLE);
    setFault("engine-1", "close", true);
    Caller.Result result = fleet.sendModelRequest(0, "broken off [tokens=50]");
    assertThat(result.outcome()).isEqualTo(Outcome.PROBLEM);
    assertThat(result.runState()).isIn("run", "unknown");
    assertThat(countStarts("broken off [tokens=50]")).isPositive();
  }

  @Test
  public void shouldNotRepeatServiceCallWhenItsRouterStopped() {
    fleet.startService("defects-1", 3_000);
    LocalFleet.sleep(1_500);
    fleet
        .caller()
        .sendServiceCall(
            fleet.callerAddress(2), LocalFleet.API_KEY, "record", "/services/defects/record", "k1");
    fleet.await(() -> !fleet.journalEntriesIfPresent("recorded").isEmpty());
    fleet.daemon(2).close();
    LocalFleet.sleep(4_000);
    Caller.Result resent = fleet.sendServiceCall(0, "k1");
    assertThat(resent.runState()).as(resent.text()).isEqualTo("unknown");
    assertThat(fleet.journalEntries("recorded")).hasSize(1);
  }
}
