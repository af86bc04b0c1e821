package org.toucansaddle.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** An explanation of a router as lines for people. Confined to a thread. */
final class ExplanationText {

  private static final double PERCENT = 100;

  private final JsonNode root;
  private final List<String> lines = new ArrayList<>();

  /** Creates the text of an explanation in JSON. */
  ExplanationText(JsonNode root) {
    this.root = root;
  }

  /** Returns the lines. */
  List<String> lines() {
    lines.clear();
    add(
        "%s %s%s: route %s, account %s",
        text(root, "method"),
        text(root, "host"),
        text(root, "path"),
        text(root, "route"),
        orNone(text(root, "account")));
    add(
        "router %s: configuration %s, last update %s ago, zones out of service %s (revision %s),"
            + " reads %.0f ms late",
        text(root, "router"),
        text(root, "document_version"),
        millis(root, "update_age_millis"),
        orNone(join(root.path("zones_out_of_service"))),
        text(root, "zones_revision"),
        root.path("lag_millis").asDouble());
    if (!text(root, "placement").equals("router")) {
      add("a %s is asked first; if it does not decide:", text(root, "placement"));
    }
    root.path("services").forEach(this::addService);
    return List.copyOf(lines);
  }

  private void addService(JsonNode service) {
    add("");
    add(
        "service %s, weight %s: %s of the requests",
        text(service, "service"), text(service, "weight"), percent(service, "probability"));
    addAdmission(service.path("admission"));
    addCandidates("goes to", service.path("first"));
    addCandidates("then to", service.path("next"));
    service.path("upstreams").forEach(this::addUpstream);
  }

  private void addAdmission(JsonNode admission) {
    String refusal = text(admission, "refusal");
    add(
        "  %s%s%s",
        text(admission, "outcome"),
        text(admission, "outcome").equals("drawn")
            ? ", " + percent(admission, "part") + " of such requests are admitted"
            : "",
        refusal.isEmpty() ? "" : ": " + refusal + ", " + text(admission, "detail"));
    JsonNode usage = admission.path("usage");
    add(
        "  engines %s used%s; account demands %.0f tokens, got %.0f, share %s; age of others'"
            + " use %s",
        percent(usage, "utilisation"),
        usage.path("pool_full").asBoolean() ? " and full" : "",
        usage.path("demanded_tokens").asDouble(),
        usage.path("admitted_tokens").asDouble(),
        bound(usage, "fair_share_tokens"),
        millis(usage, "age_millis"));
  }

  private void addCandidates(String verb, JsonNode candidates) {
    if (candidates.isEmpty()) {
      add("  %s: none", verb);
    }
    for (JsonNode candidate : candidates) {
      add(
          "  %s: %s, %s, %s; first token in %.0f ms, %s tokens to read",
          verb,
          text(candidate, "upstream"),
          percent(candidate, "probability"),
          text(candidate, "reason"),
          candidate.path("expected_first_token_millis").asDouble(),
          text(candidate, "prefill_tokens"));
    }
  }

  private void addUpstream(JsonNode upstream) {
    JsonNode ages = upstream.path("ages");
    String obstacle = text(upstream, "obstacle");
    add(
        "  upstream %s in zone %s: %s; %s requests of %s slots, pace %s, pause %s, warm-up %s,"
            + " limit per second %s; ages: report %s, load %s, limit %s",
        text(upstream, "id"),
        orNone(text(upstream, "zone")),
        obstacle.isEmpty() ? "may be drawn" : "no, " + obstacle + ": " + text(upstream, "detail"),
        text(upstream, "requests"),
        text(upstream, "slots"),
        bound(upstream, "pace"),
        millis(upstream, "pause_millis"),
        millis(upstream, "warm_up_millis"),
        bound(upstream, "requests_per_second"),
        millis(ages, "report_millis"),
        millis(ages, "load_millis"),
        millis(ages, "limit_millis"));
  }

  private void add(String format, Object... values) {
    lines.add(String.format(Locale.ROOT, format, values));
  }

  private static String text(JsonNode node, String field) {
    return node.path(field).asText("");
  }

  private static String orNone(String text) {
    return text.isEmpty() ? "none" : text;
  }

  private static String join(JsonNode names) {
    List<String> texts = new ArrayList<>();
    names.forEach(name -> texts.add(name.asText()));
    return String.join(", ", texts);
  }

  private static String percent(JsonNode node, String field) {
    return String.format(Locale.ROOT, "%.0f %%", PERCENT * node.path(field).asDouble());
  }

  private static String millis(JsonNode node, String field) {
    long value = node.path(field).asLong(-1);
    return value < 0 ? "unknown" : value + " ms";
  }

  private static String bound(JsonNode node, String field) {
    double value = node.path(field).asDouble(-1);
    return value < 0 ? "unbounded" : String.format(Locale.ROOT, "%.1f", value);
  }
}
