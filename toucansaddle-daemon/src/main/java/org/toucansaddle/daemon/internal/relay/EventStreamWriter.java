package org.toucansaddle.daemon.internal.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.toucansaddle.daemon.internal.problem.Problem;
import org.toucansaddle.daemon.internal.request.CallerRequest;
import org.toucansaddle.daemon.internal.request.ProblemWriter;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Streams a response to the caller as server-sent events.
 *
 * <p>Chunks are queued on the upstream's thread and written on the caller's I/O thread. A failure
 * before the first chunk is written as a problem response; a later one as an {@code error} event
 * without the final {@code [DONE]}. The caller is disconnected if more than {@code
 * MAX_QUEUED_BYTES} are queued. Thread-safe.
 */
final class EventStreamWriter implements ResponseWriter {

  private static final int MAX_QUEUED_BYTES = 8 << 20;
  private static final byte[] DATA = "data: ".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] END_OF_EVENT = "\n\n".getBytes(StandardCharsets.US_ASCII);

  private final CallerRequest request;
  private final ProblemWriter problems;
  private final Runnable onCallerDisconnected;
  private final HttpServerExchange exchange;
  private final Queue<ByteBuffer> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger queuedBytes = new AtomicInteger();
  private final AtomicBoolean drainScheduled = new AtomicBoolean();
  private volatile boolean endQueued;
  private boolean chunksAppended;
  private boolean closed;
  private StreamSinkChannel channel;

  EventStreamWriter(CallerRequest request, ProblemWriter problems, Runnable onCallerDisconnected) {
    this.request = request;
    this.problems = problems;
    this.onCallerDisconnected = onCallerDisconnected;
    this.exchange = request.exchange();
  }

  @Override
  public void append(List<ResponseChunk> chunks) {
    chunksAppended = true;
    int length = 0;
    for (ResponseChunk chunk : chunks) {
      length += DATA.length + chunk.json().length + END_OF_EVENT.length;
    }
    ByteBuffer events = ByteBuffer.allocate(length);
    for (ResponseChunk chunk : chunks) {
      events.put(DATA).put(chunk.json()).put(END_OF_EVENT);
    }
    enqueue(events.array());
  }

  /** Writes directly if called on the caller's I/O thread, which is the usual case. */
  @Override
  public void flush() {
    if (exchange.isInIoThread()) {
      drain();
    } else {
      scheduleDrain();
    }
  }

  @Override
  public void complete(TokenUsage usage) {
    writeLast("data: [DONE]\n\n");
  }

  @Override
  public void fail(Problem problem) {
    if (!chunksAppended) {
      problems.write(request, problem);
      return;
    }
    writeLast("event: error\ndata: " + ProblemWriter.toJson(request.id(), problem) + "\n\n");
  }

  /** Sets {@code endQueued} after queueing the text; a drain in between would cut the text off. */
  private void writeLast(String text) {
    enqueue(text.getBytes(StandardCharsets.UTF_8));
    endQueued = true;
    scheduleDrain();
  }

  private void enqueue(byte[] bytes) {
    queue.add(ByteBuffer.wrap(bytes));
    if (queuedBytes.addAndGet(bytes.length) > MAX_QUEUED_BYTES) {
      exchange.getIoThread().execute(this::disconnectCaller);
    }
  }

  private void scheduleDrain() {
    if (drainScheduled.compareAndSet(false, true)) {
      exchange.getIoThread().execute(this::drain);
    }
  }

  private void drain() {
    drainScheduled.set(false);
    if (closed) {
      return;
    }
    try {
      if (channel == null) {
        open();
      }
      writeQueued();
    } catch (IOException e) {
      disconnectCaller();
    }
  }

  private void open() {
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
    exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-cache");
    channel = exchange.getResponseChannel();
    channel.getWriteSetter().set(sink -> drain());
  }

  private void writeQueued() throws IOException {
    ByteBuffer next = queue.peek();
    while (next != null) {
      int count = channel.write(next);
      queuedBytes.addAndGet(-count);
      if (next.hasRemaining()) {
        if (count == 0) {
          channel.resumeWrites();
          return;
        }
        continue;
      }
      queue.poll();
      next = queue.peek();
    }
    channel.suspendWrites();
    if (endQueued && queue.isEmpty()) {
      finish();
    } else {
      channel.flush();
    }
  }

  private void finish() throws IOException {
    closed = true;
    channel.shutdownWrites();
    if (channel.flush()) {
      exchange.endExchange();
      return;
    }
    channel
        .getWriteSetter()
        .set(
            ChannelListeners.flushingChannelListener(
                sink -> exchange.endExchange(), (sink, failure) -> disconnectCaller()));
    channel.resumeWrites();
  }

  private void disconnectCaller() {
    closed = true;
    queue.clear();
    IoUtils.safeClose(exchange.getConnection());
    onCallerDisconnected.run();
  }
}
