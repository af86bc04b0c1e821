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
 * A completion request that a stand-in engine runs; its tokens are streamed as server-sent events.
 *
 * <p>The step thread generates tokens into a queue, and the connection's I/O thread writes the
 * queue to the connection. Thread-safe, provided that a single thread generates tokens.
 */
final class EngineRequest {

  private static final HttpString ATTEMPT_ID_HEADER = new HttpString("X-Attempt-Id");

  private final HttpServerExchange exchange;
  private final String attemptId;
  private final String user;
  private final String prompt;
  private final long promptHash;
  private final int completionTokens;
  private final boolean chat;
  private final Queue<ByteBuffer> writeQueue = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean flushScheduled = new AtomicBoolean();
  private volatile boolean disconnected;
  private volatile boolean finished;
  private volatile boolean outputSuppressed;
  private int nextTokenIndex;
  private StreamSinkChannel channel;

  EngineRequest(
      HttpServerExchange exchange,
      String attemptId,
      String user,
      String prompt,
      int offset,
      boolean chat) {
    this.exchange = exchange;
    this.attemptId = attemptId;
    this.user = user;
    this.prompt = prompt;
    this.promptHash = ExpectedCompletion.promptHash(prompt);
    this.completionTokens = ExpectedCompletion.tokenCount(prompt);
    this.nextTokenIndex = offset;
    this.chat = chat;
    exchange
        .getConnection()
        .addCloseListener(
            connection -> {
              disconnected = true;
            });
  }

  String attemptId() {
    return attemptId;
  }

  String user() {
    return user;
  }

  String prompt() {
    return prompt;
  }

  /** Returns the index of the next token, which is the resume offset before the first step. */
  int nextTokenIndex() {
    return nextTokenIndex;
  }

  /** Returns whether the connection was closed, by the client or by {@link #abort}. */
  boolean isDisconnected() {
    return disconnected;
  }

  /** Returns whether the last token has been generated; it may not have been written yet. */
  boolean isFinished() {
    return finished;
  }

  /** Returns the estimated length of the prompt in tokens, at four characters a token. */
  int promptTokens() {
    return Math.max(1, prompt.length() / 4);
  }

  /**
   * Discards all further output and leaves the connection open, as after a network partition that
   * neither end detects.
   */
  void suppressOutput() {
    outputSuppressed = true;
  }

  /**
   * Generates the next token, or the terminating events after the last one.
   *
   * @param reportedAttemptId attempt id for the event; differs from the request's own under {@link
   *     EngineFaults.Fault#CROSS}
   */
  void generateToken(String reportedAttemptId) {
    if (nextTokenIndex < completionTokens) {
      write(
          formatEvent(reportedAttemptId, ExpectedCompletion.token(promptHash, nextTokenIndex), ""));
      nextTokenIndex++;
      return;
    }
    String usage =
        ",\"usage\":{\"prompt_tokens\":"
            + promptTokens()
            + ",\"completion_tokens\":"
            + completionTokens
            + "}";
    enqueue(formatEvent(reportedAttemptId, "", usage) + "data: [DONE]\n\n");
    finished = true;
    scheduleFlush();
  }

  private String formatEvent(String reportedAttemptId, String text, String usage) {
    String content =
        chat ? "\"delta\":{\"content\":\"" + text + "\"}" : "\"text\":\"" + text + "\"";
    String finishReason = usage.isEmpty() ? "null" : "\"stop\"";
    return "id: "
        + reportedAttemptId
        + ":"
        + nextTokenIndex
        + "\ndata: {\"object\":\"text_completion\",\"choices\":[{\"index\":0,"
        + content
        + ",\"finish_reason\":"
        + finishReason
        + "}]"
        + usage
        + "}\n\n";
  }

  private void write(String text) {
    enqueue(text);
    scheduleFlush();
  }

  private void enqueue(String text) {
    if (!outputSuppressed) {
      writeQueue.add(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }
  }

  /** Sends the response head without waiting for the first token. */
  void startResponse() {
    scheduleFlush();
  }

  private void scheduleFlush() {
    if (flushScheduled.compareAndSet(false, true)) {
      exchange.getIoThread().execute(this::flush);
    }
  }

  private void flush() {
    flushScheduled.set(false);
    try {
      if (channel == null) {
        exchange.getResponseHeaders().put(ATTEMPT_ID_HEADER, attemptId);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        channel = exchange.getResponseChannel();
        channel.getWriteSetter().set(sink -> flush());
      }
      ByteBuffer buffer = writeQueue.peek();
      while (buffer != null) {
        if (channel.write(buffer) == 0) {
          channel.resumeWrites();
          return;
        }
        if (!buffer.hasRemaining()) {
          writeQueue.poll();
          buffer = writeQueue.peek();
        }
      }
      channel.suspendWrites();
      channel.flush();
      if (finished && writeQueue.isEmpty()) {
        exchange.endExchange();
      }
    } catch (IOException e) {
      abort();
    }
  }

  /** Closes the connection. */
  void abort() {
    disconnected = true;
    exchange.getIoThread().execute(() -> IoUtils.safeClose(exchange.getConnection()));
  }
}
