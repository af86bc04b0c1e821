package org.toucansaddle.standins.engine;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * A request that a stand-in engine runs.
 *
 * <p>The step thread produces tokens; the connection's I/O thread writes them. Thread-safe.
 */
final class EngineRequest {

  private static final HttpString ATTEMPT = new HttpString("X-Attempt-Id");

  private final HttpServerExchange exchange;
  private final String attempt;
  private final String user;
  private final String prompt;
  private final long hash;
  private final int length;
  private final boolean chat;
  private final Queue<ByteBuffer> queue = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean drainScheduled = new AtomicBoolean();
  private volatile boolean gone;
  private volatile boolean finished;
  private volatile boolean silent;
  private int next;
  private StreamSinkChannel channel;

  EngineRequest(
      HttpServerExchange exchange,
      String attempt,
      String user,
      String prompt,
      int offset,
      boolean chat) {
    this.exchange = exchange;
    this.attempt = attempt;
    this.user = user;
    this.prompt = prompt;
    this.hash = ExpectedAnswer.hash(prompt);
    this.length = ExpectedAnswer.length(prompt);
    this.next = offset;
    this.chat = chat;
    exchange
        .getConnection()
        .addCloseListener(
            connection -> {
              gone = true;
            });
  }

  String attempt() {
    return attempt;
  }

  String user() {
    return user;
  }

  String prompt() {
    return prompt;
  }

  int next() {
    return next;
  }

  /** Returns whether the caller closed the connection. */
  boolean isGone() {
    return gone;
  }

  boolean isDone() {
    return finished;
  }

  int promptTokens() {
    return Math.max(1, prompt.length() / 4);
  }

  /** Stops writing for good, as if something between the two ends had lost the connection. */
  void fallSilent() {
    silent = true;
  }

  /** Produces the next token, or the end after the last one. */
  void step(String shownAttempt) {
    if (next < length) {
      write(event(shownAttempt, ExpectedAnswer.token(hash, next), ""));
      next++;
      return;
    }
    String usage =
        ",\"usage\":{\"prompt_tokens\":"
            + promptTokens()
            + ",\"completion_tokens\":"
            + length
            + "}";
    enqueue(event(shownAttempt, "", usage) + "data: [DONE]\n\n");
    finished = true;
    scheduleDrain();
  }

  private String event(String shownAttempt, String text, String usage) {
    String content =
        chat ? "\"delta\":{\"content\":\"" + text + "\"}" : "\"text\":\"" + text + "\"";
    String reason = usage.isEmpty() ? "null" : "\"stop\"";
    return "id: "
        + shownAttempt
        + ":"
        + next
        + "\ndata: {\"object\":\"text_completion\",\"choices\":[{\"index\":0,"
        + content
        + ",\"finish_reason\":"
        + reason
        + "}]"
        + usage
        + "}\n\n";
  }

  private void write(String text) {
    enqueue(text);
    scheduleDrain();
  }

  private void enqueue(String text) {
    if (!silent) {
      queue.add(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }
  }

  /** Sends the response's head at once. */
  void open() {
    scheduleDrain();
  }

  private void scheduleDrain() {
    if (drainScheduled.compareAndSet(false, true)) {
      exchange.getIoThread().execute(this::drain);
    }
  }

  private void drain() {
    drainScheduled.set(false);
    try {
      if (channel == null) {
        exchange.getResponseHeaders().put(ATTEMPT, attempt);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        channel = exchange.getResponseChannel();
        channel.getWriteSetter().set(sink -> drain());
      }
      ByteBuffer buffer = queue.peek();
      while (buffer != null) {
        if (channel.write(buffer) == 0) {
          channel.resumeWrites();
          return;
        }
        if (!buffer.hasRemaining()) {
          queue.poll();
          buffer = queue.peek();
        }
      }
      channel.suspendWrites();
      channel.flush();
      if (finished && queue.isEmpty()) {
        exchange.endExchange();
      }
    } catch (IOException e) {
      abort();
    }
  }

  /** Closes the connection. */
  void abort() {
    gone = true;
    exchange.getIoThread().execute(() -> IoUtils.safeClose(exchange.getConnection()));
  }
}
