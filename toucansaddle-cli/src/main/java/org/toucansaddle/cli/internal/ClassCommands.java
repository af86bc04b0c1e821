package org.toucansaddle.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Commands that manage work classes. Not thread-safe. */
@Command(
    name = "class",
    mixinStandardHelpOptions = true,
    description = "Lists, changes and deletes work classes and their targets.")
public final class ClassCommands {

  @Spec private CommandSpec spec;

  private Printer printer() {
    return new Printer(spec.commandLine().getOut());
  }

  @Command(
      name = "list",
      mixinStandardHelpOptions = true,
      description = "Lists the work classes and their targets.",
      footer = {"", "Example: toucansaddle class list --output json"})
  void list(@Mixin AdminOptions adminOptions) {
    try (AdminClient client = adminOptions.createClient()) {
      JsonNode response = client.get("classes");
      if (adminOptions.isJson()) {
        printer().printJson(response);
        return;
      }
      printer()
          .printTable(
              response.path("classes"),
              "name",
              "kind",
              "pool",
              "first_token_millis",
              "whole_answer_millis",
              "served_share",
              "idempotent",
              "revision");
    }
  }

  @Command(
      name = "set",
      mixinStandardHelpOptions = true,
      description = "Creates a work class or changes its targets.",
      footer = {
        "",
        "Examples:",
        "  toucansaddle class set long-briefing --pool chart-model \\",
        "      --first-token 2s --whole-answer 60s --served-share 0.99 --wait",
        "  toucansaddle class set defect-record --kind service --pool defects \\",
        "      --first-token 1s --whole-answer 5s"
      })
  void set(
      @Mixin AdminOptions adminOptions,
      @Mixin ChangeOptions changeOptions,
      @Parameters(paramLabel = "NAME", description = "Name of the work class.") String name,
      @Option(
              names = "--kind",
              defaultValue = "model",
              description = "Kind of its upstreams: model or service. Default: ${DEFAULT-VALUE}")
          String kind,
      @Option(
              names = "--pool",
              required = true,
              description = "Name of the model or service that serves the class.")
          String pool,
      @Option(
              names = "--first-token",
              required = true,
              description = "Target for the time to the first token, such as 500ms.")
          String firstToken,
      @Option(
              names = "--whole-answer",
              required = true,
              description = "Target for the time to the complete response, such as 8s.")
          String wholeAnswer,
      @Option(
              names = "--served-share",
              defaultValue = "0.99",
              description = "Share of requests to complete in time. Default: ${DEFAULT-VALUE}")
          double servedShare,
      @Option(
              names = "--idempotent",
              description = "Whether requests to a service may run more than once.")
          boolean idempotent) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("kind", kind).put("pool", pool);
    body.put("first_token_millis", DurationParser.parseMillis(firstToken));
    body.put("whole_answer_millis", DurationParser.parseMillis(wholeAnswer));
    body.put("served_share", servedShare);
    if (kind.equals("service")) {
      body.put("idempotent", idempotent);
    }
    changeOptions.sendChange(adminOptions, printer(), "PUT", "classes", name, body);
  }

  @Command(
      name = "delete",
      mixinStandardHelpOptions = true,
      description = "Deletes a work class.",
      footer = {"", "Example: toucansaddle class delete long-briefing"})
  void delete(
      @Mixin AdminOptions adminOptions,
      @Mixin ChangeOptions changeOptions,
      @Parameters(paramLabel = "NAME", description = "Name of the work class.") String name) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    changeOptions.sendChange(adminOptions, printer(), "DELETE", "classes", name, body);
  }
}
