package org.toucansaddle.daemon.internal.relay;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.toucansaddle.coordination.sharing.UpstreamSlots;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpException;
import org.toucansaddle.http.HttpExchange;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpStreamHandler;

/**
 * One attempt of a model request at one upstream.
 *
 * <p>Invariants: every event must carry this attempt's id and the next offset, else the attempt
 * ends as {@link AttemptOutcome#WRONG_ANSWER} and its connection is closed; the listener is ended
 * exactly once. Events arrive on the connection's thread; {@link #cancel} is thread-safe.
 */
final class ModelAttempt implements HttpStreamHandler {

  private static final int OK = 200;
  private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.US_ASCII);

  /** Follows an attempt. */
  interface Listener {
    /** Called with the parts of the answer that arrived together, in order. */
    void onParts(ModelAttempt attempt, List<AnswerPart> parts);

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
  private List<AnswerPart> arrived = new ArrayList<>();
  private Optional<AttemptOutcome> outcomeRead = Optional.empty();

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

  /**
   * Sends the request, unless the attempt was given up before.
   *
   * @param retry whether an earlier attempt failed; then a new connection is used, because a reused
   *     one to an upstream that died breaks just like one whose upstream dies of this request
   */
  void send(HttpClient client, String path, String body, boolean retry) {
    if (ended.get()) {
      return;
    }
    HttpRequest call =
        HttpRequest.post(upstream.address(), path, body)
            .withHeader("X-Attempt-Id", id)
            .withHeader("X-Resume-Offset", Integer.toString(nextOffset));
    HttpExchange started = client.stream(retry ? call.withNewConnection() : call, this);
    exchange = started;
    if (ended.get()) {
      started.cancel();
    }
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
      read(AttemptOutcome.WRONG_ANSWER);
    }
    if (!arrived.isEmpty() && !ended.get()) {
      List<AnswerPart> parts = arrived;
      arrived = new ArrayList<>();
      listener.onParts(this, parts);
    }
    outcomeRead.ifPresent(outcome -> end(outcome, true));
  }

  private void read(AttemptOutcome outcome) {
    if (outcomeRead.isEmpty()) {
      outcomeRead = Optional.of(outcome);
    }
  }

  private void onEvent(String eventId, byte[] data) {
    if (outcomeRead.isPresent() || ended.get()) {
      return;
    }
    if (Arrays.equals(data, DONE)) {
      read(usage == null ? AttemptOutcome.WRONG_ANSWER : AttemptOutcome.WHOLE);
      return;
    }
    if (!eventId.equals(id + ":" + nextOffset)) {
      read(AttemptOutcome.WRONG_ANSWER);
      return;
    }
    try {
      onCompletion(data, CompletionEvent.parse(data));
    } catch (IOException e) {
      read(AttemptOutcome.WRONG_ANSWER);
    }
  }

  private void onCompletion(byte[] data, CompletionEvent event) {
    event.usage().ifPresent(counts -> usage = counts);
    if (usage == null) {
      nextOffset++;
    }
    answering = true;
    arrived.add(new AnswerPart(data, event.text()));
  }

  @Override
  public void onEnd() {
    end(AttemptOutcome.BROKEN, true);
  }

  @Override
  public void onFailure(HttpException failure) {
    AttemptOutcome outcome =
        switch (failure.kind()) {
          case CONNECT -> AttemptOutcome.NOT_CONNECTED;
          case CANCELLED -> AttemptOutcome.CANCELLED;
          default -> AttemptOutcome.BROKEN;
        };
    end(outcome, failure.mayHaveReachedServer());
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
