package org.toucansaddle.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Lists upstreams. Used by one thread. */
@Command(
    name = "upstreams",
    mixinStandardHelpOptions = true,
    description = "Lists the upstreams whose announcements reached the daemon asked.",
    footer = {"", "Example: toucansaddle upstreams --output json"})
public final class UpstreamsCommand implements Runnable {

  @Spec private CommandSpec spec;
  @Mixin private AdminOptions admin;

  @Override
  public void run() {
    Printer printer = new Printer(spec.commandLine().getOut());
    try (AdminClient client = admin.createClient()) {
      JsonNode answer = client.get("upstreams");
      if (admin.isJson()) {
        printer.printJson(answer);
        return;
      }
      printer.printTable(
          answer.path("upstreams"),
          "id",
          "kind",
          "pool",
          "zone",
          "address",
          "slots",
          "running",
          "leaving");
    }
  }
}
