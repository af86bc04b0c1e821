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
import org.toucansaddle.standins.engine.ExpectedAnswer;
import org.toucansaddle.standins.engine.StandinEngine;
import org.toucansaddle.standins.journal.JournalEntry;
import org.toucansaddle.standins.load.Caller;
import org.toucansaddle.standins.load.Caller.Outcome;

/** A fleet while its parts fail. */
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
    fleet.await(() -> fleet.ask(0, "warm up").outcome() == Outcome.WHOLE);
    LocalFleet.sleep(500);
  }

  private List<CompletableFuture<Caller.Result>> askMany(int count, int tokens) {
    List<CompletableFuture<Caller.Result>> results = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String prompt = "question " + i + " [tokens=" + tokens + "]";
      String router = fleet.callers(i % 2);
      results.add(fleet.caller().ask(router, LocalFleet.KEY, "summary", prompt, ""));
    }
    return results;
  }

  private void setFault(String engine, String fault, boolean on) {
    String body = "{\"fault\":\"" + fault + "\",\"on\":" + on + "}";
    HttpRequest call = HttpRequest.post(fleet.address(engine), "/standin/fault", body);
    fleet.client().send(call, Duration.ofSeconds(5)).join();
  }

  @DataProvider
  static Object[][] engineFaults() {
    return new Object[][] {{"silent"}, {"close"}, {"cross"}, {"freeze"}};
  }

  @Test(dataProvider = "engineFaults")
  public void shouldGiveEachCallerItsOwnWholeAnswerOverEngineFaults(String fault) {
    startEngines();
    List<CompletableFuture<Caller.Result>> results = askMany(12, 120);
    LocalFleet.sleep(200);
    setFault("engine-1", fault, true);
    LocalFleet.sleep(1_500);
    setFault("engine-1", fault, false);
    results.forEach(r -> assertThat(r.join().outcome()).isEqualTo(Outcome.WHOLE));
  }

  @Test
  public void shouldAnswerThroughOthersWhenARouterStops() {
    startEngines();
    List<CompletableFuture<Caller.Result>> results = askMany(8, 60);
    fleet.daemon(2).close();
    results.forEach(r -> assertThat(r.join().outcome()).isEqualTo(Outcome.WHOLE));
    fleet.await(() -> fleet.ask(0, "after the stop").outcome() == Outcome.WHOLE);
    fleet.await(() -> fleet.ask(1, "after the stop").outcome() == Outcome.WHOLE);
  }

  @Test
  public void shouldCutNoRequestByGracefulShutdown() {
    startEngines();
    List<CompletableFuture<Caller.Result>> results = askMany(10, 200);
    LocalFleet.sleep(200);
    fleet.daemon(0).shutDown();
    results.forEach(r -> assertThat(r.join().outcome()).isEqualTo(Outcome.WHOLE));
  }

  @Test
  public void shouldSendNothingToLeavingEngineAfterThreeSeconds() {
    startEngines();
    long leftAt = System.currentTimeMillis();
    HttpRequest leave = HttpRequest.post(fleet.address("engine-1"), "/standin/leave", "{}");
    fleet.client().send(leave, Duration.ofSeconds(5)).join();
    while (System.currentTimeMillis() < leftAt + 5_000) {
      askMany(4, 10).forEach(CompletableFuture::join);
    }
    for (JournalEntry start : fleet.journal("start")) {
      if (start.text("engine").equals("engine-1")) {
        assertThat(start.time()).isLessThanOrEqualTo(leftAt + 3_000);
      }
    }
  }

  @Test
  public void shouldSendNothingToSilentEngineAfterThreeSeconds() {
    StandinEngine silent = fleet.startEngine("engine-1", 4);
    fleet.startEngine("engine-2", 4);
    fleet.await(() -> fleet.ask(0, "warm up").outcome() == Outcome.WHOLE);
    silent.close();
    LocalFleet.sleep(3_000);
    for (int i = 0; i < 10; i++) {
      Caller.Result result = fleet.ask(i % 3, "after silence " + i);
      assertThat(result.outcome()).as("request %d: %s", i, result.text()).isEqualTo(Outcome.WHOLE);
    }
  }

  @Test
  public void shouldRefuseRequestThatCrashesEnginesAndServeItsNeighbours() {
    for (int i = 1; i <= 5; i++) {
      fleet.startEngine("engine-" + i, 4);
    }
    fleet.await(() -> fleet.ask(0, "warm up").outcome() == Outcome.WHOLE);
    LocalFleet.sleep(1_500);
    List<CompletableFuture<Caller.Result>> neighbours = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      String prompt = "neighbour " + i + " [tokens=150]";
      String router = fleet.callers(0);
      neighbours.add(fleet.caller().ask(router, LocalFleet.KEY, "summary", prompt, ""));
    }
    LocalFleet.sleep(100);
    String poison = "poison [crash]";
    Caller.Result first = fleet.ask(0, poison);
    assertThat(first.text()).contains("quarantined");
    int runs = startsOf(poison);
    assertThat(runs).isEqualTo(3);
    Caller.Result again = fleet.ask(1, poison);
    assertThat(again.text()).contains("quarantined");
    assertThat(again.run()).isEqualTo("not-run");
    assertThat(startsOf(poison)).isEqualTo(runs);
    for (CompletableFuture<Caller.Result> neighbour : neighbours) {
      Caller.Result result = neighbour.join();
      assertThat(result.outcome()).as(result.text()).isEqualTo(Outcome.WHOLE);
    }
  }

  /** A connection that is refused runs nothing, so it must not use up what repeats are allowed. */
  @Test
  public void shouldAnswerAllWhileMostEnginesRefuseConnections() {
    List<StandinEngine> dying = new ArrayList<>();
    for (int i = 1; i <= 5; i++) {
      dying.add(fleet.startEngine("engine-" + i, 12));
    }
    fleet.startEngine("engine-6", 12);
    fleet.await(() -> fleet.ask(0, "warm up").outcome() == Outcome.WHOLE);
    LocalFleet.sleep(1_500);
    dying.forEach(StandinEngine::close);
    List<CompletableFuture<Caller.Result>> results = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      String prompt = "question " + i + " [tokens=5]";
      results.add(fleet.caller().ask(fleet.callers(0), LocalFleet.KEY, "summary", prompt, ""));
    }
    for (CompletableFuture<Caller.Result> result : results) {
      assertThat(result.join().outcome()).as(result.join().text()).isEqualTo(Outcome.WHOLE);
    }
  }

  private int startsOf(String prompt) {
    String hash = Long.toHexString(ExpectedAnswer.hash(prompt));
    return (int) fleet.journal("start").stream().filter(s -> s.text("prompt").equals(hash)).count();
  }

  @Test
  public void shouldTellNotRunOnlyWhenNothingRan() {
    Caller.Result result = fleet.ask(0, "nobody serves this");
    assertThat(result.outcome()).isEqualTo(Outcome.PROBLEM);
    assertThat(result.run()).isEqualTo("not-run");
    assertThat(fleet.journalOrNothing("start")).isEmpty();
  }

  @Test
  public void shouldNotTellNotRunAfterAnEngineStarted() {
    fleet.startEngine("engine-1", 4);
    fleet.await(() -> fleet.ask(0, "warm up").outcome() == Outcome.WHOLE);
    setFault("engine-1", "close", true);
    Caller.Result result = fleet.ask(0, "broken off [tokens=50]");
    assertThat(result.outcome()).isEqualTo(Outcome.PROBLEM);
    assertThat(result.run()).isIn("run", "unknown");
    assertThat(startsOf("broken off [tokens=50]")).isPositive();
  }

  @Test
  public void shouldNotRunCallAgainWhenItsRouterDied() {
    fleet.startService("defects-1", 3_000);
    LocalFleet.sleep(1_500);
    fleet
        .caller()
        .record(fleet.callers(2), LocalFleet.KEY, "record", "/services/defects/record", "k1");
    fleet.await(() -> !fleet.journalOrNothing("recorded").isEmpty());
    fleet.daemon(2).close();
    LocalFleet.sleep(4_000);
    Caller.Result resent = fleet.record(0, "k1");
    assertThat(resent.run()).as(resent.text()).isEqualTo("unknown");
    assertThat(fleet.journal("recorded")).hasSize(1);
  }
}
