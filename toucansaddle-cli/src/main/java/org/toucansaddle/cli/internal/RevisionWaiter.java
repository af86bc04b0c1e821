package org.toucansaddle.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Waits until a revision is in force at every live router. Stateless. */
final class RevisionWaiter {

  private static final int LIMIT_MILLIS = 10_000;
  private static final int PAUSE_MILLIS = 50;

  private RevisionWaiter() {}

  /** Returns when the revision is in force everywhere, or fails naming where it is not. */
  static void await(AdminClient client, long revision) {
    long deadline = System.nanoTime() + LIMIT_MILLIS * 1_000_000L;
    List<String> behind = behind(client, revision);
    while (!behind.isEmpty() && System.nanoTime() < deadline) {
      pause();
      behind = behind(client, revision);
    }
    if (!behind.isEmpty()) {
      throw CliErrors.notInForce(revision, String.join(", ", behind));
    }
  }

  private static List<String> behind(AdminClient client, long revision) {
    JsonNode revisions = client.get("revisions").path("revisions");
    List<String> names = new ArrayList<>();
    revisions
        .fields()
        .forEachRemaining(
            field -> {
              if (field.getValue().asLong() < revision) {
                names.add(field.getKey());
              }
            });
    return names;
  }

  private static void pause() {
    try {
      Thread.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
