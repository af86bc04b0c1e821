package org.toucansaddle.daemon.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.toucansaddle.daemon.gateway.ServiceDefinition.EngineCapacity;
import org.toucansaddle.daemon.internal.gateway.control.DocumentTable;

/**
 * Configuration documents in TOML, the product's own format (docs/OPERATIONS.md).
 *
 * <pre>{@code
 * FleetDocument document = TomlDocuments.format().read(Files.readAllBytes(file));
 * }</pre>
 *
 * <p>Stateless and thread-safe.
 */
public final class TomlDocuments {

  private TomlDocuments() {}

  /** Returns the format. */
  public static DocumentFormat format() {
    return TomlDocuments::read;
  }

  private static FleetDocument read(byte[] content) throws DocumentException {
    DocumentTable root = new DocumentTable("the document", parse(content));
    FleetDocument document =
        new FleetDocument(
            root.number("version"),
            routes(root),
            services(root),
            accounts(root),
            root.has("limits") ? limits(root.table("limits")) : CallerLimits.defaults());
    root.end();
    return document.validated();
  }

  private static JsonNode parse(byte[] content) throws DocumentException {
    try {
      return new TomlMapper().readTree(new String(content, StandardCharsets.UTF_8));
    } catch (JsonProcessingException e) {
      throw new DocumentException("it is not TOML: " + e.getOriginalMessage());
    }
  }

  private static List<Route> routes(DocumentTable root) throws DocumentException {
    List<Route> routes = new ArrayList<>();
    for (DocumentTable table : root.tables("routes")) {
      routes.add(route(table));
    }
    return routes;
  }

  private static Route route(DocumentTable table) throws DocumentException {
    int timeout = table.number("timeout_millis", 0);
    Route route =
        new Route(
            table.text("name"),
            table.text("host").toLowerCase(Locale.ROOT),
            table.text("path_prefix"),
            repetition(table.text("repetition")),
            timeout,
            table.number("target_millis", timeout),
            table.number("gap_target_millis", 0),
            table.number("priority", 0),
            targets(table),
            table.number("max_attempts", 1),
            table.is("open"),
            table.is("resumable"));
    table.end();
    return route;
  }

  private static Repetition repetition(String text) throws DocumentException {
    for (Repetition each : Repetition.values()) {
      if (each.name().toLowerCase(Locale.ROOT).equals(text)) {
        return each;
      }
    }
    throw new DocumentException("repetition '" + text + "' is none of repeatable, once and stream");
  }

  private static List<WeightedService> targets(DocumentTable route) throws DocumentException {
    if (route.has("service")) {
      return List.of(new WeightedService(route.text("service"), 1));
    }
    List<WeightedService> targets = new ArrayList<>();
    for (DocumentTable table : route.tables("services")) {
      targets.add(new WeightedService(table.text("name"), table.number("weight", 1)));
      table.end();
    }
    return targets;
  }

  private static List<ServiceDefinition> services(DocumentTable root) throws DocumentException {
    List<ServiceDefinition> services = new ArrayList<>();
    for (DocumentTable table : root.tables("services")) {
      Optional<EngineCapacity> engine =
          table.has("engine") ? Optional.of(engine(table.table("engine"))) : Optional.empty();
      services.add(
          new ServiceDefinition(
              table.text("name"),
              table.text("health_path", ""),
              table.number("max_connections", 0),
              engine));
      table.end();
    }
    return services;
  }

  private static EngineCapacity engine(DocumentTable table) throws DocumentException {
    EngineCapacity engine =
        new EngineCapacity(table.number("slots", 1), table.number("memory_tokens"));
    table.end();
    return engine;
  }

  private static List<ClientAccount> accounts(DocumentTable root) throws DocumentException {
    List<ClientAccount> accounts = new ArrayList<>();
    for (DocumentTable table : root.tables("accounts")) {
      accounts.add(new ClientAccount(table.text("name"), new HashSet<>(table.texts("keys"))));
      table.end();
    }
    return accounts;
  }

  private static CallerLimits limits(DocumentTable table) throws DocumentException {
    CallerLimits usual = CallerLimits.defaults();
    CallerLimits limits =
        new CallerLimits(
            table.number("max_header_bytes", usual.maxHeaderBytes()),
            table.number("max_body_bytes", usual.maxBodyBytes()),
            table.number("header_timeout_millis", usual.headerTimeoutMillis()),
            table.number("idle_timeout_millis", usual.idleTimeoutMillis()),
            table.has("tokens_per_second") ? table.number("tokens_per_second") : 0);
    table.end();
    return limits;
  }
}
