package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.standins.journal.JournalEntry;
import org.toucansaddle.standins.load.Caller.Outcome;

/** Upstreams that are told by the fleet which model to hold. */
public class PlacementUsageTest {

  private static final int LOAD_MILLIS = 300;

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

  @Test
  public void shouldLoadTheModelThatAClassCallsFor() {
    fleet.startEngine(
        fleet
            .engineSettings("engine-1", "standby", 4)
            .withOrders(List.of("model-a", "model-b"), LOAD_MILLIS, true));
    fleet.await(() -> fleet.ask(0, "who loads this?").outcome() == Outcome.WHOLE);
    List<JournalEntry> orders = fleet.journal("order");
    assertThat(orders).hasSize(1);
    assertThat(orders.get(0).text("model")).isEqualTo("model-a");
    HttpRequest late =
        HttpRequest.post(
            fleet.address("engine-1"),
            "/v1/orders",
            "{\"action\":\"load\",\"model\":\"model-b\",\"fencing\":1}");
    assertThat(fleet.client().send(late, Duration.ofSeconds(2)).join().status()).isEqualTo(409);
  }
}
