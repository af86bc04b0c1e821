package org.toucansaddle.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine.Option;

/** Options of the commands that change the configuration. Not thread-safe. */
final class ChangeOptions {

  @Option(
      names = "--revision",
      description = "Item revision that the change is based on. Default: the current one.")
  private Long revision;

  @Option(names = "--wait", description = "Wait until the change is in force at every live router.")
  private boolean wait;

  /** Sends a change of one item in a collection and prints the revision that contains it. */
  void sendChange(
      AdminOptions adminOptions,
      Printer printer,
      String method,
      String collection,
      String name,
      ObjectNode body) {
    try (AdminClient client = adminOptions.createClient()) {
      long baseRevision = revision != null ? revision : currentRevision(client, collection, name);
      JsonNode response = client.sendChange(method, collection + "/" + name, body, baseRevision);
      long acceptedRevision = response.path("revision").asLong();
      if (wait) {
        RevisionWaiter.await(client, acceptedRevision);
      }
      if (adminOptions.isJson()) {
        printer.printJson(response);
      } else {
        printer.printLine(
            "accepted at revision "
                + acceptedRevision
                + (wait ? ", in force at every live router" : ""));
      }
    }
  }

  private static long currentRevision(AdminClient client, String collection, String name) {
    for (JsonNode item : client.get(collection).path(collection)) {
      if (item.path("name").asText().equals(name)) {
        return item.path("revision").asLong();
      }
    }
    return 0;
  }
}
