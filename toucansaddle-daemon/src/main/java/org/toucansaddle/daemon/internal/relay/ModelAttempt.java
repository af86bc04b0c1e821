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
 * <p>Invariants: every event must carry this attempt's id and the next offset, otherwise the
 * attempt ends with {@link AttemptOutcome#WRONG_ANSWER} and its connection is closed; {@link
 * Listener#onEnded} is called exactly once. Events are handled on the connection's thread; {@link
 * #cancel} is thread-safe.
 */
final class ModelAttempt implements HttpStreamHandler {

  private static final int OK = 200;
  private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.US_ASCII);

  /** Receives the chunks and the outcome of an attempt. */
  interface Listener {
    /** Called with the chunks that were received together, in order. */
    void onChunks(ModelAttempt attempt, List<ResponseChunk> chunks);

    /**
     * Called once when the attempt ended.
     *
     * @param written whether the request may have reached the upstream
     * @param usage token counts, or null if none were received
     */
    void onEnded(ModelAttempt attempt, AttemptOutcome outcome, boolean written, TokenUsage usage);
  }

  private final String id;
  private final UpstreamSlots upstream;
  private final Listener listener;
  private final SseParser parser = new SseParser(this::onEvent);
  private final AtomicBoolean ended = new AtomicBoolean();
  private final long startedAtMillis;
  private volatile long lastDataAtMillis;
  private volatile boolean eventReceived;
  private volatile HttpExchange exchange;
  private int nextOffset;
  private TokenUsage usage;
  private List<ResponseChunk> pendingChunks = new ArrayList<>();
  private Optional<AttemptOutcome> pendingOutcome = Optional.empty();

  /**
   * Creates an attempt.
   *
   * @param offset number of tokens that the caller has already received
   */
  ModelAttempt(String id, UpstreamSlots upstream, int offset, long nowMillis, Listener listener) {
    this.id = id;
    this.upstream = upstream;
    this.nextOffset = offset;
    this.startedAtMillis = nowMillis;
    this.lastDataAtMillis = nowMillis;
    this.listener = listener;
  }

  /**
   * Sends the request, unless the attempt has already ended.
   *
   * @param retry whether an earlier attempt failed; a retry uses a new connection, because a broken
   *     pooled connection to a dead upstream would look like an upstream that failed on this
   *     request
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

  /** Returns when data was last received, in monotonic milliseconds. */
  long lastDataAtMillis() {
    return lastDataAtMillis;
  }

  /** Returns whether an event of the response was received. */
  boolean hasReceivedEvent() {
    return eventReceived;
  }

  /** Ends the attempt with the given outcome and closes its connection. */
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
    lastDataAtMillis = System.nanoTime() / 1_000_000;
    if (!parser.accept(data)) {
      setPendingOutcome(AttemptOutcome.WRONG_ANSWER);
    }
    if (!pendingChunks.isEmpty() && !ended.get()) {
      List<ResponseChunk> chunks = pendingChunks;
      pendingChunks = new ArrayList<>();
      listener.onChunks(this, chunks);
    }
    pendingOutcome.ifPresent(outcome -> end(outcome, true));
  }

  private void setPendingOutcome(AttemptOutcome outcome) {
    if (pendingOutcome.isEmpty()) {
      pendingOutcome = Optional.of(outcome);
    }
  }

  private void onEvent(String eventId, byte[] data) {
    if (pendingOutcome.isPresent() || ended.get()) {
      return;
    }
    if (Arrays.equals(data, DONE)) {
      setPendingOutcome(usage == null ? AttemptOutcome.WRONG_ANSWER : AttemptOutcome.WHOLE);
      return;
    }
    if (!eventId.equals(id + ":" + nextOffset)) {
      setPendingOutcome(AttemptOutcome.WRONG_ANSWER);
      return;
    }
    try {
      onCompletion(data, CompletionEvent.parse(data));
    } catch (IOException e) {
      setPendingOutcome(AttemptOutcome.WRONG_ANSWER);
    }
  }

  private void onCompletion(byte[] data, CompletionEvent event) {
    event.usage().ifPresent(received -> usage = received);
    if (usage == null) {
      nextOffset++;
    }
    eventReceived = true;
    pendingChunks.add(new ResponseChunk(data, event.text()));
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
