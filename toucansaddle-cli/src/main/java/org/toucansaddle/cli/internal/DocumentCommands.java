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

/** Reads, checks and replaces the configuration document of a gateway. Used by one thread. */
@Command(
    name = "document",
    mixinStandardHelpOptions = true,
    description = "Reads, checks and replaces the configuration document of a gateway.",
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
      description = "Prints the newest document, confirmed by a quorum of the control daemons.")
  void get(@Mixin AdminOptions options) {
    try (AdminClient client = options.createClient()) {
      JsonNode answer = client.get("document");
      Printer printer = printer();
      if (options.isJson()) {
        printer.printJson(answer);
      } else {
        printer.printLine(answer.path("content").asText().stripTrailing());
      }
    }
  }

  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = "Says whether a document would be accepted, and changes nothing.")
  void check(
      @Mixin AdminOptions options,
      @Parameters(paramLabel = "FILE", description = "TOML document.") Path file) {
    try (AdminClient client = options.createClient()) {
      say(options, "valid", client.sendText("POST", "document/check", "content", read(file)));
    }
  }

  @Command(
      name = "put",
      mixinStandardHelpOptions = true,
      description = {
        "Replaces the document; it is in force at every router within 2 s.",
        "The version of the new one must be higher, or the content the same as before."
      })
  void put(
      @Mixin AdminOptions options,
      @Parameters(paramLabel = "FILE", description = "TOML document.") Path file) {
    try (AdminClient client = options.createClient()) {
      say(options, "accepted", client.sendText("PUT", "document", "content", read(file)));
    }
  }

  private Printer printer() {
    return new Printer(spec.commandLine().getOut());
  }

  private void say(AdminOptions options, String what, JsonNode answer) {
    if (options.isJson()) {
      printer().printJson(answer);
      return;
    }
    printer()
        .printLine(
            "version %s %s: %s routes, %s services, %s accounts"
                .formatted(
                    answer.path("version").asText(),
                    what,
                    answer.path("routes").asText(),
                    answer.path("services").asText(),
                    answer.path("accounts").asText()));
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw CliErrors.unreadableFile(file.toString());
    }
  }
}
