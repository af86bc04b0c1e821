package org.toucansaddle.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Reads, validates and replaces the configuration document of a gateway. Not thread-safe. */
@Command(
    name = "document",
    mixinStandardHelpOptions = true,
    description = "Reads, validates and replaces the configuration document of a gateway.",
    footer = {
      "",
      "Examples:",
      "  toucansaddle document check routes.toml",
      "  toucansaddle document put routes.toml --admin 10.1.0.4:7200,10.2.0.4:7200",
      "  toucansaddle document get > routes.toml"
    })
public final class DocumentCommands {

  @Spec private CommandSpec spec;

  @Command(
      name = "get",
      mixinStandardHelpOptions = true,
      description = "Prints the latest document, confirmed by a quorum of the control daemons.")
  void get(@Mixin AdminOptions adminOptions) {
    try (AdminClient client = adminOptions.createClient()) {
      JsonNode response = client.get("document");
      Printer printer = printer();
      if (adminOptions.isJson()) {
        printer.printJson(response);
      } else {
        printer.printLine(response.path("content").asText().stripTrailing());
      }
    }
  }

  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = "Validates a document without applying it.")
  void check(
      @Mixin AdminOptions adminOptions,
      @Parameters(paramLabel = "FILE", description = "TOML document.") Path file) {
    try (AdminClient client = adminOptions.createClient()) {
      printSummary(
          adminOptions,
          "valid",
          client.sendText("POST", "document/check", "content", readFile(file)));
    }
  }

  @Command(
      name = "put",
      mixinStandardHelpOptions = true,
      description = {
        "Replaces the document; it is in force at every router within 2 s.",
        "Its version must be higher than the current one, unless the content is unchanged."
      })
  void put(
      @Mixin AdminOptions adminOptions,
      @Parameters(paramLabel = "FILE", description = "TOML document.") Path file) {
    try (AdminClient client = adminOptions.createClient()) {
      printSummary(
          adminOptions, "accepted", client.sendText("PUT", "document", "content", readFile(file)));
    }
  }

  private Printer printer() {
    return new Printer(spec.commandLine().getOut());
  }

  private void printSummary(AdminOptions adminOptions, String outcome, JsonNode response) {
    if (adminOptions.isJson()) {
      printer().printJson(response);
      return;
    }
    printer()
        .printLine(
            "version %s %s: %s routes, %s services, %s accounts%s"
                .formatted(
                    response.path("version").asText(),
                    outcome,
                    response.path("routes").asText(),
                    response.path("services").asText(),
                    response.path("accounts").asText(),
                    describeKeys(response.path("requires_keys"))));
  }

  /** Returns whether requests need keys; empty if an older daemon does not say. */
  private static String describeKeys(JsonNode required) {
    if (required.isMissingNode()) {
      return "";
    }
    return required.asBoolean() ? ", keys required" : ", no keys required";
  }

  private static String readFile(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw CliErrors.unreadableFile(file.toString());
    }
  }
}
