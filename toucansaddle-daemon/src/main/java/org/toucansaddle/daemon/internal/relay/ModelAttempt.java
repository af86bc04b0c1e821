package org.toucansaddle.daemon.internal.relay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.toucansaddle.coordination.sharing.UpstreamSlots;
import org.toucansaddle.http.HttpCall;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpExchange;
import org.toucansaddle.http.HttpFailure;
import org.toucansaddle.http.HttpStreamHandler;

/**
 * One attempt of a model request at one upstream.
 *
 * <p>Invariants: every event must carry this attempt's id and the next offset, else the attempt
 * ends as {@link AttemptOutcome#WRONG_ANSWER} and its connection is closed; the listener is ended
 * exactly once. Events arrive on the connection's thread; {@link #cancel} is thread-safe.
 */
final class ModelAttempt implements HttpStreamHandler {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int OK = 200;
  private static final String DONE = "[DONE]";

  /** Follows an attempt. */
  interface Listener {
    /** Called with each part of the answer, in order. */
    void onPart(ModelAttempt attempt, String json, String text);

    /** Called once when the attempt ended. */
    void onEnded(ModelAttempt attempt, AttemptOutcome outcome, boolean written, AnswerUsage usage);
  }

  private final String id;
  private final UpstreamSlots upstream;
  private final Listener listener;
  private final SseParser parser = new SseParser(this::onEvent);
  private final AtomicBoolean ended = new AtomicBoolean();
  private final long startedAtMillis;
  private volatile long lastEventAtMillis;
  private volatile boolean answering;
  private volatile HttpExchange exchange;
  private int nextOffset;
  private AnswerUsage usage;

  /**
   * Creates an attempt.
   *
   * @param offset parts of the answer that the caller has already
   */
  ModelAttempt(String id, UpstreamSlots upstream, int offset, long nowMillis, Listener listener) {
    this.id = id;
    this.upstream = upstream;
    this.nextOffset = offset;
    this.startedAtMillis = nowMillis;
    this.lastEventAtMillis = nowMillis;
    this.listener = listener;
  }

  /** Sends the request. */
  void send(HttpClient client, String path, String body) {
    HttpCall call =
        HttpCall.post(upstream.address(), path, body)
            .withHeader("X-Attempt-Id", id)
            .withHeader("X-Resume-Offset", Integer.toString(nextOffset));
    exchange = client.stream(call, this);
  }

  String id() {
    return id;
  }

  UpstreamSlots upstream() {
    return upstream;
  }

  long startedAtMillis() {
    return startedAtMillis;
  }

  /** Returns when the upstream was last heard of on this attempt, in milliseconds. */
  long lastEventAtMillis() {
    return lastEventAtMillis;
  }

  /** Returns whether a part of the answer arrived. */
  boolean isAnswering() {
    return answering;
  }

  /** Gives the attempt up. */
  void cancel(AttemptOutcome outcome) {
    end(outcome, true);
  }

  @Override
  public void onHead(int status, Map<String, String> headers) {
    if (status != OK) {
      end(AttemptOutcome.REFUSED, true);
    } else if (!id.equals(headers.get("X-Attempt-Id"))) {
      end(AttemptOutcome.WRONG_ANSWER, true);
    }
  }

  @Override
  public void onData(ByteBuffer data) {
    lastEventAtMillis = System.nanoTime() / 1_000_000;
    if (!parser.accept(data)) {
      end(AttemptOutcome.WRONG_ANSWER, true);
    }
  }

  private void onEvent(String eventId, String data) {
    if (ended.get()) {
      return;
    }
    if (data.equals(DONE)) {
      end(usage == null ? AttemptOutcome.WRONG_ANSWER : AttemptOutcome.WHOLE, true);
      return;
    }
    if (!eventId.equals(id + ":" + nextOffset)) {
      end(AttemptOutcome.WRONG_ANSWER, true);
      return;
    }
    JsonNode event;
    try {
      event = JSON.readTree(data);
    } catch (JsonProcessingException e) {
      end(AttemptOutcome.WRONG_ANSWER, true);
      return;
    }
    JsonNode choice = event.path("choices").path(0);
    readUsage(event, choice);
    if (usage == null) {
      nextOffset++;
    }
    answering = true;
    listener.onPart(this, data, text(choice));
  }

  private void readUsage(JsonNode event, JsonNode choice) {
    JsonNode reason = choice.path("finish_reason");
    if (reason.isTextual()) {
      JsonNode counts = event.path("usage");
      usage =
          new AnswerUsage(
              counts.path("prompt_tokens").asInt(),
              counts.path("completion_tokens").asInt(),
              reason.asText());
    }
  }

  private static String text(JsonNode choice) {
    JsonNode text = choice.path("text");
    return text.isTextual() ? text.asText() : choice.path("delta").path("content").asText("");
  }

  @Override
  public void onEnd() {
    end(AttemptOutcome.BROKEN, true);
  }

  @Override
  public void onFailure(HttpFailure failure) {
    AttemptOutcome outcome =
        switch (failure.kind()) {
          case CONNECT -> AttemptOutcome.NOT_CONNECTED;
          case CANCELLED -> AttemptOutcome.CANCELLED;
          default -> AttemptOutcome.BROKEN;
        };
    end(outcome, failure.written());
  }

  private void end(AttemptOutcome outcome, boolean written) {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    HttpExchange current = exchange;
    if (current != null && outcome != AttemptOutcome.WHOLE) {
      current.cancel();
    }
    listener.onEnded(this, outcome, written, usage);
  }
}
