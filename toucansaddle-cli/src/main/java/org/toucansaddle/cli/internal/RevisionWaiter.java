package org.toucansaddle.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Waits until a revision is in force at every live router. Stateless and thread-safe. */
final class RevisionWaiter {

  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int POLL_INTERVAL_MILLIS = 50;

  private RevisionWaiter() {}

  /**
   * Polls until the revision is in force at every live router.
   *
   * <p>Throws a {@link CliException} that names the lagging routers if the time limit is exceeded.
   */
  static void await(AdminClient client, long revision) {
    long deadlineNanos = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
    List<String> lagging = laggingRouters(client, revision);
    while (!lagging.isEmpty() && System.nanoTime() < deadlineNanos) {
      sleep();
      lagging = laggingRouters(client, revision);
    }
    if (!lagging.isEmpty()) {
      throw CliErrors.notInForce(revision, String.join(", ", lagging));
    }
  }

  private static List<String> laggingRouters(AdminClient client, long revision) {
    JsonNode revisions = client.get("revisions").path("revisions");
    List<String> names = new ArrayList<>();
    revisions
        .fields()
        .forEachRemaining(
            entry -> {
              if (entry.getValue().asLong() < revision) {
                names.add(entry.getKey());
              }
            });
    return names;
  }

  private static void sleep() {
    try {
      Thread.sleep(POLL_INTERVAL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
