package org.toucansaddle.daemon.internal.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.io.IoCallback;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.toucansaddle.daemon.internal.problem.Problem;
import org.toucansaddle.daemon.internal.problem.RunState;
import org.toucansaddle.http.RequestBody;
import org.toucansaddle.protocol.generated.Announcement;
import org.toucansaddle.protocol.generated.UpstreamKind;

/**
 * Validates the announcements that upstreams send over HTTP and passes them on.
 *
 * <p>An invalid announcement is answered with status 400 and never reaches the consumer.
 * Thread-safe.
 */
public final class AnnouncementHandler implements HttpHandler {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int MAX_SLOTS = 10_000;
  private static final int MAX_PORT = 65_535;
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
  private static final Pattern ADDRESS =
      Pattern.compile("([0-9.]{7,15}|\\[[0-9a-f:]+]):([0-9]{1,5})");

  private final Consumer<Announcement> onAnnouncement;

  /** Creates a handler that passes valid announcements to the consumer. */
  public AnnouncementHandler(Consumer<Announcement> onAnnouncement) {
    this.onAnnouncement = onAnnouncement;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    RequestBody.read(
        exchange,
        MAX_BODY_BYTES,
        body -> handle(exchange, body),
        failure -> reject(exchange, "the body is longer than 64 KiB"));
  }

  private void handle(HttpServerExchange exchange, byte[] body) {
    JsonNode json;
    try {
      json = JSON.readTree(body);
    } catch (IOException e) {
      reject(exchange, "the body is not valid JSON");
      return;
    }
    Optional<String> error = validate(json);
    if (error.isPresent()) {
      reject(exchange, error.get());
      return;
    }
    onAnnouncement.accept(parse(json));
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send("{\"next_announce_millis\":1000}", IoCallback.END_EXCHANGE);
  }

  private static Optional<String> validate(JsonNode json) {
    if (!NAME.matcher(json.path("id").asText()).matches()) {
      return Optional.of("'id' must be 1 to 63 letters, digits, dots, hyphens or underscores");
    }
    if (!NAME.matcher(json.path("pool").asText()).matches()) {
      return Optional.of(
          "'pool' must name the model or service, with the characters that 'id' allows");
    }
    if (!isAddress(json.path("address").asText())) {
      return Optional.of("'address' must be an IP address and port such as 10.0.0.9:9000");
    }
    int slots = json.path("slots").asInt(-1);
    if (slots < 1 || slots > MAX_SLOTS) {
      return Optional.of("'slots' must be an integer from 1 to " + MAX_SLOTS);
    }
    if (!json.path("incarnation").canConvertToLong() || json.path("incarnation").asLong() < 0) {
      return Optional.of(
          "'incarnation' must be a non-negative integer that increases with each start");
    }
    String kind = json.path("kind").asText();
    if (!kind.equals("model") && !kind.equals("service")) {
      return Optional.of("'kind' must be 'model' or 'service'");
    }
    for (String model : loadableModels(json)) {
      if (!NAME.matcher(model).matches()) {
        return Optional.of("'loadable' must be a list of model names");
      }
    }
    return Optional.empty();
  }

  private static boolean isAddress(String text) {
    var matcher = ADDRESS.matcher(text);
    if (!matcher.matches()) {
      return false;
    }
    int port = Integer.parseInt(matcher.group(2));
    return port > 0 && port <= MAX_PORT;
  }

  private static Announcement parse(JsonNode json) {
    boolean isModel = json.path("kind").asText().equals("model");
    return Announcement.newBuilder()
        .setId(json.path("id").asText())
        .setIncarnation(json.path("incarnation").asLong())
        .setAddress(json.path("address").asText())
        .setZone(json.path("zone").asText())
        .setKind(isModel ? UpstreamKind.MODEL : UpstreamKind.SERVICE)
        .setPool(json.path("pool").asText())
        .setSlots(json.path("slots").asInt())
        .setRunning(Math.max(0, json.path("running").asInt()))
        .setLeaving(json.path("leaving").asBoolean())
        .setChecksFencing(json.path("checks_fencing").asBoolean())
        .addAllLoadable(loadableModels(json))
        .build();
  }

  private static List<String> loadableModels(JsonNode json) {
    List<String> models = new ArrayList<>();
    json.path("loadable").forEach(model -> models.add(model.asText()));
    return models;
  }

  private static void reject(HttpServerExchange exchange, String reason) {
    String detail =
        "Invalid announcement: "
            + reason
            + ". Correct it and send it again; the next announcement is due in one second.";
    Problem problem = Problem.of(400, "bad-announcement", RunState.NOT_RUN, detail);
    exchange.setStatusCode(problem.status());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/problem+json");
    ByteBuffer body =
        ByteBuffer.wrap(ProblemWriter.toJson("announce", problem).getBytes(StandardCharsets.UTF_8));
    exchange.getResponseSender().send(body, IoCallback.END_EXCHANGE);
  }
}
