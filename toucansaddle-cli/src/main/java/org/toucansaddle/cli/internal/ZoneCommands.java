package org.toucansaddle.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Takes availability zones out of service and back. Not thread-safe. */
@Command(
    name = "zone",
    mixinStandardHelpOptions = true,
    description = "Takes availability zones out of service and back.",
    footer = {
      "",
      "Examples:",
      "  toucansaddle zone out liberia --admin 10.1.0.4:7200,10.2.0.4:7200",
      "  toucansaddle zone in liberia",
      "  toucansaddle zone status --output json"
    })
public final class ZoneCommands {

  @Spec private CommandSpec spec;

  @Command(
      name = "out",
      mixinStandardHelpOptions = true,
      description = {
        "Takes a zone out of service: nothing more is sent to its upstreams.",
        "Requests that are under way there end there."
      })
  void out(
      @Mixin AdminOptions adminOptions,
      @Parameters(paramLabel = "ZONE", description = "Name of the zone.") String zone) {
    order(adminOptions, "DELETE", zone);
  }

  @Command(
      name = "in",
      mixinStandardHelpOptions = true,
      description = "Takes a zone back into service; its upstreams count as cold at first.")
  void in(
      @Mixin AdminOptions adminOptions,
      @Parameters(paramLabel = "ZONE", description = "Name of the zone.") String zone) {
    order(adminOptions, "PUT", zone);
  }

  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description = "Prints the zones out of service, confirmed by a quorum.")
  void status(@Mixin AdminOptions adminOptions) {
    try (AdminClient client = adminOptions.createClient()) {
      print(adminOptions, client.get("zones"));
    }
  }

  private void order(AdminOptions adminOptions, String method, String zone) {
    String name = URLEncoder.encode(zone, StandardCharsets.UTF_8).replace("+", "%20");
    try (AdminClient client = adminOptions.createClient()) {
      print(adminOptions, client.send(method, "zones/" + name));
    }
  }

  private void print(AdminOptions adminOptions, JsonNode response) {
    Printer printer = new Printer(spec.commandLine().getOut());
    if (adminOptions.isJson()) {
      printer.printJson(response);
      return;
    }
    List<String> names = new ArrayList<>();
    response.path("out_of_service").forEach(name -> names.add(name.asText()));
    printer.printLine(
        "revision %s, out of service: %s"
            .formatted(
                response.path("revision").asText(),
                names.isEmpty() ? "none" : String.join(", ", names)));
  }
}
