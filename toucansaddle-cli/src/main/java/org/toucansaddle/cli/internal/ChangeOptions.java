package org.toucansaddle.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine.Option;

/** Options of every command that changes the configuration. Used by one thread. */
final class ChangeOptions {

  @Option(
      names = "--revision",
      description = "Revision of the item that the change was decided on. Default: the current.")
  private Long revision;

  @Option(
      names = "--wait",
      description = "Return when the change is in force at every live router.")
  private boolean wait;

  /** Sends a change of one item of a collection and prints the result. */
  void sendChange(
      AdminOptions admin,
      Printer printer,
      String method,
      String collection,
      String name,
      ObjectNode body) {
    try (AdminClient client = admin.createClient()) {
      long decidedOn = revision != null ? revision : current(client, collection, name);
      JsonNode answer = client.sendChange(method, collection + "/" + name, body, decidedOn);
      long accepted = answer.path("revision").asLong();
      if (wait) {
        RevisionWaiter.await(client, accepted);
      }
      if (admin.isJson()) {
        printer.printJson(answer);
      } else {
        printer.printLine(
            "accepted at revision " + accepted + (wait ? ", in force at every live router" : ""));
      }
    }
  }

  private static long current(AdminClient client, String collection, String name) {
    for (JsonNode item : client.get(collection).path(collection)) {
      if (item.path("name").asText().equals(name)) {
        return item.path("revision").asLong();
      }
    }
    return 0;
  }
}
