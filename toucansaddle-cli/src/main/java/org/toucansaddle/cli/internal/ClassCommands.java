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

/** Commands about classes of work. Used by one thread. */
@Command(
    name = "class",
    mixinStandardHelpOptions = true,
    description = "Shows and changes classes of work and their targets.")
public final class ClassCommands {

  @Spec private CommandSpec spec;

  private Printer printer() {
    return new Printer(spec.commandLine().getOut());
  }

  @Command(
      name = "list",
      mixinStandardHelpOptions = true,
      description = "Lists the classes with their targets.",
      footer = {"", "Example: toucansaddle class list --output json"})
  void list(@Mixin AdminOptions admin) {
    try (AdminClient client = admin.createClient()) {
      JsonNode answer = client.get("classes");
      if (admin.isJson()) {
        printer().printJson(answer);
        return;
      }
      printer()
          .printTable(
              answer.path("classes"),
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
      description = "Creates a class or changes its targets.",
      footer = {
        "",
        "Examples:",
        "  toucansaddle class set long-briefing --pool chart-model \\",
        "      --first-token 2s --whole-answer 60s --served-share 0.99 --wait",
        "  toucansaddle class set defect-record --kind service --pool defects \\",
        "      --first-token 1s --whole-answer 5s"
      })
  void set(
      @Mixin AdminOptions admin,
      @Mixin ChangeOptions change,
      @Parameters(paramLabel = "NAME", description = "Name of the class.") String name,
      @Option(
              names = "--kind",
              defaultValue = "model",
              description = "What serves it: model or service. Default: ${DEFAULT-VALUE}")
          String kind,
      @Option(
              names = "--pool",
              required = true,
              description = "Name of the model or service that serves it.")
          String pool,
      @Option(
              names = "--first-token",
              required = true,
              description = "Target for the first token, such as 500ms.")
          String firstToken,
      @Option(
              names = "--whole-answer",
              required = true,
              description = "Target for the whole answer, such as 8s.")
          String wholeAnswer,
      @Option(
              names = "--served-share",
              defaultValue = "0.99",
              description = "Share of requests to serve whole in time. Default: ${DEFAULT-VALUE}")
          double servedShare,
      @Option(
              names = "--idempotent",
              description = "Whether a service call may run more than once.")
          boolean idempotent) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("kind", kind).put("pool", pool);
    body.put("first_token_millis", DurationParser.parseMillis(firstToken));
    body.put("whole_answer_millis", DurationParser.parseMillis(wholeAnswer));
    body.put("served_share", servedShare);
    if (kind.equals("service")) {
      body.put("idempotent", idempotent);
    }
    change.sendChange(admin, printer(), "PUT", "classes", name, body);
  }

  @Command(
      name = "delete",
      mixinStandardHelpOptions = true,
      description = "Deletes a class.",
      footer = {"", "Example: toucansaddle class delete long-briefing"})
  void delete(
      @Mixin AdminOptions admin,
      @Mixin ChangeOptions change,
      @Parameters(paramLabel = "NAME", description = "Name of the class.") String name) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    change.sendChange(admin, printer(), "DELETE", "classes", name, body);
  }
}
