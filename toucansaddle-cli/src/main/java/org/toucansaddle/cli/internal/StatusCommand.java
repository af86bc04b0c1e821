package org.toucansaddle.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Shows a daemon's state. Used by one thread. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = "Shows the daemon asked, the fleet as it sees it, and its control replica.",
    footer = {"", "Example: toucansaddle status --admin 127.0.0.1:7201"})
public final class StatusCommand implements Runnable {

  @Spec private CommandSpec spec;
  @Mixin private AdminOptions admin;

  @Override
  public void run() {
    Printer printer = new Printer(spec.commandLine().getOut());
    try (AdminClient client = admin.createClient()) {
      JsonNode answer = client.get("status");
      if (admin.isJson()) {
        printer.printJson(answer);
        return;
      }
      printer.printLine(
          answer.path("name").asText()
              + (answer.path("ready").asBoolean() ? " ready" : " not ready")
              + ", configuration revision "
              + answer.path("revision").asText()
              + ", confirmed "
              + answer.path("confirmed_age_millis").asText()
              + " ms ago");
      printer.printTable(answer.path("members"), "name", "state", "zone", "address", "control");
      printControl(printer, answer.path("control"));
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
