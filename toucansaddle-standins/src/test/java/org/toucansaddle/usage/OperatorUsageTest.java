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

/** Usage tests of a fleet from the view of its operators. */
public class OperatorUsageTest {

  private static final int EXIT_OK = 0;
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_CONFLICT = 3;
  private static final int EXIT_NOT_FOUND = 4;

  private LocalFleet fleet;

  @BeforeClass
  public void startFleet() throws IOException {
    fleet = LocalFleet.start(3);
  }

  @AfterClass(alwaysRun = true)
  public void stopFleet() throws Exception {
    fleet.close();
  }

  private int setClass(String name, String... moreArguments) {
    List<String> arguments =
        new ArrayList<>(List.of("class", "set", name, "--pool", "m", "--first-token", "1s"));
    arguments.addAll(List.of("--whole-answer", "9s"));
    arguments.addAll(List.of(moreArguments));
    return fleet.runCli(arguments.toArray(String[]::new));
  }

  @Test
  public void shouldApplyClassChangesOnAllDaemons() {
    assertThat(setClass("short-answer", "--wait")).isEqualTo(EXIT_OK);
    assertThat(setClass("short-answer", "--wait", "--served-share", "0.95")).isEqualTo(EXIT_OK);
    assertThat(fleet.runCli("class", "list")).isEqualTo(EXIT_OK);
    assertThat(fleet.runCli("class", "delete", "short-answer", "--wait")).isEqualTo(EXIT_OK);
  }

  @Test
  public void shouldRejectChangeBasedOnOutdatedRevision() {
    assertThat(setClass("long-briefing")).isEqualTo(EXIT_OK);
    assertThat(setClass("long-briefing", "--revision", "0")).isEqualTo(EXIT_CONFLICT);
  }

  @Test
  public void shouldReportNotFoundForUnknownClass() {
    assertThat(fleet.runCli("class", "delete", "no-such-class")).isEqualTo(EXIT_NOT_FOUND);
  }

  @DataProvider
  static Object[][] invalidCommands() {
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

  @Test(dataProvider = "invalidCommands")
  public void shouldRejectInvalidCommand(String[] arguments) {
    assertThat(fleet.runCli(arguments)).isEqualTo(EXIT_USAGE);
  }

  @Test
  public void shouldAcceptOneOfConcurrentChangesToSameRevision() {
    ExecutorService operators = Executors.newFixedThreadPool(4);
    List<CompletableFuture<Integer>> futures = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      futures.add(
          CompletableFuture.supplyAsync(() -> setClass("raced", "--revision", "0"), operators));
    }
    List<Integer> exitCodes = futures.stream().map(CompletableFuture::join).toList();
    operators.shutdown();
    assertThat(exitCodes).containsOnlyOnce(EXIT_OK);
    assertThat(exitCodes.stream().filter(exitCode -> exitCode == EXIT_CONFLICT)).hasSize(3);
  }

  @Test
  public void shouldShowStatusAndUpstreams() {
    assertThat(fleet.runCli("status")).isEqualTo(EXIT_OK);
    assertThat(fleet.runCli("upstreams", "--output", "json")).isEqualTo(EXIT_OK);
  }

  @DataProvider
  static Object[][] invalidCredentials() {
    return new Object[][] {{"Bearer wrong"}, {"Basic operator-token"}, {""}};
  }

  @Test(dataProvider = "invalidCredentials")
  public void shouldRejectOperatorWithoutValidToken(String authorization) {
    HttpRequest call =
        HttpRequest.get(fleet.adminAddress(0), "/admin/v1/status")
            .withHeader("Authorization", authorization);
    HttpResponse response = fleet.client().send(call, Duration.ofSeconds(5)).join();
    assertThat(response.status()).isEqualTo(401);
    assertThat(response.text()).contains("unknown-token");
  }
}
