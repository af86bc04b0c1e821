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
import org.toucansaddle.coordination.zones.AllowedRegions;
import org.toucansaddle.daemon.gateway.ServiceDefinition.EngineCapacity;
import org.toucansaddle.daemon.gateway.ServiceDefinition.WarmUp;
import org.toucansaddle.daemon.internal.gateway.control.TomlTable;

/**
 * Parser for configuration documents in TOML, the native format (docs/OPERATIONS.md).
 *
 * <pre>{@code
 * FleetDocument document = TomlDocuments.format().read(Files.readAllBytes(file));
 * }</pre>
 *
 * <p>Stateless and thread-safe.
 */
public final class TomlDocuments {

  private TomlDocuments() {}

  /** Returns the TOML document format. */
  public static DocumentFormat format() {
    return TomlDocuments::read;
  }

  private static FleetDocument read(byte[] content) throws DocumentException {
    TomlTable root = new TomlTable("the document", parse(content));
    FleetDocument document =
        new FleetDocument(
            root.integer("version"),
            readRoutes(root),
            readServices(root),
            readAccounts(root),
            root.has("limits") ? readLimits(root.table("limits")) : CallerLimits.defaults());
    root.rejectUnknownFields();
    return document.validated();
  }

  private static JsonNode parse(byte[] content) throws DocumentException {
    try {
      return new TomlMapper().readTree(new String(content, StandardCharsets.UTF_8));
    } catch (JsonProcessingException e) {
      throw new DocumentException("the document is not valid TOML: " + e.getOriginalMessage());
    }
  }

  private static List<Route> readRoutes(TomlTable root) throws DocumentException {
    List<Route> routes = new ArrayList<>();
    for (TomlTable table : root.tables("routes")) {
      routes.add(readRoute(table));
    }
    return routes;
  }

  private static Route readRoute(TomlTable table) throws DocumentException {
    int timeout = table.integer("timeout_millis", 0);
    Route route =
        new Route(
            table.string("name"),
            table.string("host").toLowerCase(Locale.ROOT),
            table.string("path_prefix"),
            parseRepetition(table.string("repetition")),
            timeout,
            table.integer("target_millis", timeout),
            table.integer("gap_target_millis", 0),
            table.integer("priority", 0),
            readTargets(table),
            table.integer("max_attempts", 1),
            table.flag("open"),
            table.flag("resumable"),
            readRegions(table));
    table.rejectUnknownFields();
    return route;
  }

  private static AllowedRegions readRegions(TomlTable table) throws DocumentException {
    return table.has("regions")
        ? AllowedRegions.of(new HashSet<>(table.strings("regions")))
        : AllowedRegions.any();
  }

  private static Repetition parseRepetition(String text) throws DocumentException {
    for (Repetition value : Repetition.values()) {
      if (value.name().toLowerCase(Locale.ROOT).equals(text)) {
        return value;
      }
    }
    throw new DocumentException("repetition '" + text + "' must be repeatable, once or stream");
  }

  private static List<WeightedService> readTargets(TomlTable route) throws DocumentException {
    if (route.has("service")) {
      return List.of(new WeightedService(route.string("service"), 1));
    }
    List<WeightedService> targets = new ArrayList<>();
    for (TomlTable table : route.tables("services")) {
      targets.add(new WeightedService(table.string("name"), table.integer("weight", 1)));
      table.rejectUnknownFields();
    }
    return targets;
  }

  private static List<ServiceDefinition> readServices(TomlTable root) throws DocumentException {
    List<ServiceDefinition> services = new ArrayList<>();
    for (TomlTable table : root.tables("services")) {
      Optional<EngineCapacity> engine =
          table.has("engine") ? Optional.of(readEngine(table.table("engine"))) : Optional.empty();
      services.add(
          new ServiceDefinition(
              table.string("name"),
              table.string("health_path", ""),
              table.integer("max_connections", 0),
              engine,
              table.has("warm_up")
                  ? Optional.of(readWarmUp(table.table("warm_up")))
                  : Optional.empty()));
      table.rejectUnknownFields();
    }
    return services;
  }

  private static WarmUp readWarmUp(TomlTable table) throws DocumentException {
    WarmUp warmUp =
        new WarmUp(table.integer("millis", 0), table.positiveNumber("requests_per_second"));
    table.rejectUnknownFields();
    return warmUp;
  }

  private static EngineCapacity readEngine(TomlTable table) throws DocumentException {
    EngineCapacity engine =
        new EngineCapacity(table.integer("slots", 1), table.integer("memory_tokens"));
    table.rejectUnknownFields();
    return engine;
  }

  /**
   * Reads the client accounts; a missing list, unlike an empty one, lets requests in without keys.
   */
  private static Optional<List<ClientAccount>> readAccounts(TomlTable root)
      throws DocumentException {
    if (!root.has("accounts")) {
      return Optional.empty();
    }
    List<ClientAccount> accounts = new ArrayList<>();
    for (TomlTable table : root.tables("accounts")) {
      accounts.add(
          new ClientAccount(
              table.string("name"), new HashSet<>(table.strings("keys")), readRegions(table)));
      table.rejectUnknownFields();
    }
    return Optional.of(accounts);
  }

  private static CallerLimits readLimits(TomlTable table) throws DocumentException {
    CallerLimits defaults = CallerLimits.defaults();
    CallerLimits limits =
        new CallerLimits(
            table.integer("max_header_bytes", defaults.maxHeaderBytes()),
            table.integer("max_body_bytes", defaults.maxBodyBytes()),
            table.integer("header_timeout_millis", defaults.headerTimeoutMillis()),
            table.integer("idle_timeout_millis", defaults.idleTimeoutMillis()),
            table.has("tokens_per_second") ? table.integer("tokens_per_second") : 0);
    table.rejectUnknownFields();
    return limits;
  }
}
