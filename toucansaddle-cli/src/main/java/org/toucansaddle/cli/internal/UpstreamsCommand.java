package org.toucansaddle.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Lists upstreams. Not thread-safe. */
@Command(
    name = "upstreams",
    mixinStandardHelpOptions = true,
    description = "Lists the upstreams from which the daemon has received announcements.",
    footer = {"", "Example: toucansaddle upstreams --output json"})
public final class UpstreamsCommand implements Runnable {

  @Spec private CommandSpec spec;
  @Mixin private AdminOptions adminOptions;

  @Override
  public void run() {
    Printer printer = new Printer(spec.commandLine().getOut());
    try (AdminClient client = adminOptions.createClient()) {
      JsonNode response = client.get("upstreams");
      if (adminOptions.isJson()) {
        printer.printJson(response);
        return;
      }
      printer.printTable(
          response.path("upstreams"),
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
