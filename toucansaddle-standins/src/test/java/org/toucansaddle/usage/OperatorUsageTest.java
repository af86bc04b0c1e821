package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;

/** A fleet as its operators use it. */
public class OperatorUsageTest {

  private static final int OK = 0;
  private static final int USAGE = 2;
  private static final int CONFLICT = 3;
  private static final int NOT_FOUND = 4;

  private LocalFleet fleet;

  @BeforeClass
  public void startFleet() throws IOException {
    fleet = LocalFleet.start(3);
  }

  @AfterClass(alwaysRun = true)
  public void stopFleet() throws Exception {
    fleet.close();
  }

  private int set(String name, String... more) {
    List<String> arguments =
        new ArrayList<>(List.of("class", "set", name, "--pool", "m", "--first-token", "1s"));
    arguments.addAll(List.of("--whole-answer", "9s"));
    arguments.addAll(List.of(more));
    return fleet.operate(arguments.toArray(String[]::new));
  }

  @Test
  public void shouldChangeClassEverywhere() {
    assertThat(set("short-answer", "--wait")).isEqualTo(OK);
    assertThat(set("short-answer", "--wait", "--served-share", "0.95")).isEqualTo(OK);
    assertThat(fleet.operate("class", "list")).isEqualTo(OK);
    assertThat(fleet.operate("class", "delete", "short-answer", "--wait")).isEqualTo(OK);
  }

  @Test
  public void shouldRefuseChangeDecidedOnAnOldRevision() {
    assertThat(set("long-briefing")).isEqualTo(OK);
    assertThat(set("long-briefing", "--revision", "0")).isEqualTo(CONFLICT);
  }

  @Test
  public void shouldSayThatNothingIsThere() {
    assertThat(fleet.operate("class", "delete", "no-such-class")).isEqualTo(NOT_FOUND);
  }

  @DataProvider
  static Object[][] wrongUses() {
    return new Object[][] {
      {new String[] {"class", "set", "UPPER", "--pool", "m"}},
      {
        new String[] {
          "class", "set", "a", "--pool", "m", "--first-token", "soon", "--whole-answer", "9s"
        }
      },
      {
        new String[] {
          "class", "set", "a", "--pool", "m", "--first-token", "9s", "--whole-answer", "1s"
        }
      },
      {new String[] {"account", "put", "a", "--key-digest", "short"}},
    };
  }

  @Test(dataProvider = "wrongUses")
  public void shouldRefuseWrongUse(String[] arguments) {
    assertThat(fleet.operate(arguments)).isEqualTo(USAGE);
  }

  @Test
  public void shouldLetOneOfManyRacingOperatorsWin() {
    ExecutorService operators = Executors.newFixedThreadPool(4);
    List<CompletableFuture<Integer>> codes = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      codes.add(CompletableFuture.supplyAsync(() -> set("raced", "--revision", "0"), operators));
    }
    List<Integer> results = codes.stream().map(CompletableFuture::join).toList();
    operators.shutdown();
    assertThat(results).containsOnlyOnce(OK);
    assertThat(results.stream().filter(code -> code == CONFLICT)).hasSize(3);
  }

  @Test
  public void shouldShowStatusAndUpstreams() {
    assertThat(fleet.operate("status")).isEqualTo(OK);
    assertThat(fleet.operate("upstreams", "--output", "json")).isEqualTo(OK);
  }

  @DataProvider
  static Object[][] tokens() {
    return new Object[][] {{"Bearer wrong"}, {"Basic operator-token"}, {""}};
  }

  @Test(dataProvider = "tokens")
  public void shouldRefuseUnknownOperator(String authorization) {
    HttpRequest call =
        HttpRequest.get(fleet.admin(0), "/admin/v1/status")
            .withHeader("Authorization", authorization);
    HttpResponse reply = fleet.client().send(call, Duration.ofSeconds(5)).join();
    assertThat(reply.status()).isEqualTo(401);
    assertThat(reply.text()).contains("unknown-token");
  }
}
