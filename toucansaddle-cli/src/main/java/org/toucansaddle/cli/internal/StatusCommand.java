package org.toucansaddle.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Shows the state of a daemon. Not thread-safe. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = "Shows the state of a daemon, its view of the fleet and its control replica.",
    footer = {"", "Example: toucansaddle status --admin 127.0.0.1:7201"})
public final class StatusCommand implements Runnable {

  @Spec private CommandSpec spec;
  @Mixin private AdminOptions adminOptions;

  @Override
  public void run() {
    Printer printer = new Printer(spec.commandLine().getOut());
    try (AdminClient client = adminOptions.createClient()) {
      JsonNode response = client.get("status");
      if (adminOptions.isJson()) {
        printer.printJson(response);
        return;
      }
      printer.printLine(
          response.path("name").asText()
              + (response.path("ready").asBoolean() ? " ready" : " not ready")
              + ", configuration revision "
              + response.path("revision").asText()
              + ", confirmed "
              + response.path("confirmed_age_millis").asText()
              + " ms ago");
      printer.printTable(response.path("members"), "name", "state", "zone", "address", "control");
      printControl(printer, response.path("control"));
    }
  }

  private static void printControl(Printer printer, JsonNode control) {
    if (control.isMissingNode()) {
      return;
    }
    printer.printLine(
        "control replica "
            + control.path("replica").asText()
            + ": "
            + control.path("role").asText()
            + ", term "
            + control.path("term").asText()
            + ", leader "
            + control.path("leader").asText("-")
            + ", committed "
            + control.path("commit_index").asText()
            + (control.path("repaired").asBoolean() ? ", repaired" : ""));
    printer.printLine(
        "voters " + control.path("voters") + ", learners " + control.path("learners"));
  }
}
