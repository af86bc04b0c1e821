package org.toucansaddle.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Explains decisions of routers. Not thread-safe. */
@Command(
    name = "explain",
    mixinStandardHelpOptions = true,
    description = "Explains decisions of routers.",
    footer = {
      "",
      "Example:",
      "  toucansaddle explain route --host a.example --path /chat/x --account captain \\",
      "      --tokens 1800 --output-tokens 200 --prefix session-7:1200 --admin 10.1.0.33:9465"
    })
public final class ExplainCommands {

  @Spec private CommandSpec spec;

  /** The request that is explained. Not thread-safe. */
  static final class RequestOptions {

    @Option(names = "--host", required = true, description = "Host name of the request.")
    private String host;

    @Option(names = "--path", required = true, description = "Path of the request.")
    private String path;

    @Option(
        names = "--method",
        defaultValue = "POST",
        description = "Method of the request. Default: ${DEFAULT-VALUE}")
    private String method;

    @Option(names = "--account", defaultValue = "", description = "Name of the client account.")
    private String account;

    @Option(names = "--tokens", defaultValue = "0", description = "Tokens of the whole prompt.")
    private int tokens;

    @Option(
        names = "--output-tokens",
        defaultValue = "0",
        description = "Maximum tokens of the response.")
    private int outputTokens;

    @Option(
        names = "--prefix",
        paramLabel = "ID:TOKENS",
        description = "Part at the start of the prompt that others share; may be repeated.")
    private List<String> prefixes = List.of();

    ObjectNode toJson() {
      ObjectNode body =
          JsonNodeFactory.instance
              .objectNode()
              .put("host", host)
              .put("path", path)
              .put("method", method)
              .put("account", account)
              .put("prompt_tokens", tokens)
              .put("output_tokens", outputTokens);
      ArrayNode parts = body.putArray("shared_parts");
      for (String prefix : prefixes) {
        int colon = prefix.lastIndexOf(':');
        String number = prefix.substring(colon + 1);
        if (colon < 1 || !number.matches("[0-9]{1,9}")) {
          throw CliErrors.invalidPrefix(prefix);
        }
        parts
            .addObject()
            .put("id", prefix.substring(0, colon))
            .put("tokens", Integer.parseInt(number));
      }
      return body;
    }
  }

  @Command(
      name = "route",
      mixinStandardHelpOptions = true,
      description = {
        "Prints where a router would send a request now, and why, without sending it.",
        "Asks the first router of --admin that answers."
      })
  void route(@Mixin AdminOptions adminOptions, @Mixin RequestOptions request) {
    ObjectNode body = request.toJson();
    try (AdminClient client = adminOptions.createClient()) {
      JsonNode explanation = client.askRouter("explain/route", body);
      Printer printer = new Printer(spec.commandLine().getOut());
      if (adminOptions.isJson()) {
        printer.printJson(explanation);
      } else {
        new ExplanationText(explanation).lines().forEach(printer::printLine);
      }
    }
  }
}
