package org.toucansaddle.standins.load;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import org.toucansaddle.http.HttpException;
import org.toucansaddle.http.HttpStreamHandler;

/**
 * Receives one streamed response and records the arrival times of its events.
 *
 * <p>Confined to the thread of the connection, except for {@link #completion}. The histograms are
 * shared with other handlers and locked for each update.
 */
final class StreamedResponseHandler implements HttpStreamHandler {

  private static final byte[] EVENT_PREFIX = "data:".getBytes(StandardCharsets.US_ASCII);
  private static final int HTTP_OK = 200;

  private final Histogram firstTokenMicros;
  private final Histogram tokenGapMicros;
  private final int expectedEvents;
  private final CompletableFuture<Boolean> completion = new CompletableFuture<>();
  private final long sentAtNanos = System.nanoTime();
  private long lastEventNanos;
  private int matchedBytes;
  private int events;
  private int status;

  /**
   * Creates a handler; the request counts as sent now.
   *
   * @param firstTokenMicros histogram of the time to the first token, in microseconds
   * @param tokenGapMicros histogram of the time between tokens, in microseconds
   * @param tokens tokens of the complete response
   */
  StreamedResponseHandler(Histogram firstTokenMicros, Histogram tokenGapMicros, int tokens) {
    this.firstTokenMicros = firstTokenMicros;
    this.tokenGapMicros = tokenGapMicros;
    this.expectedEvents = tokens + 2;
  }

  /** Returns a future of whether the response arrived complete; it never fails. */
  CompletableFuture<Boolean> completion() {
    return completion;
  }

  @Override
  public void onHead(int responseStatus, Map<String, String> headers) {
    status = responseStatus;
  }

  @Override
  public void onData(ByteBuffer data) {
    int eventsBefore = events;
    while (data.hasRemaining()) {
      byte next = data.get();
      matchedBytes =
          next == EVENT_PREFIX[matchedBytes] ? matchedBytes + 1 : next == EVENT_PREFIX[0] ? 1 : 0;
      if (matchedBytes == EVENT_PREFIX.length) {
        events++;
        matchedBytes = 0;
      }
    }
    if (events > eventsBefore && status == HTTP_OK) {
      recordArrival();
    }
  }

  private void recordArrival() {
    long nowNanos = System.nanoTime();
    if (lastEventNanos == 0) {
      record(firstTokenMicros, nowNanos - sentAtNanos);
    } else {
      record(tokenGapMicros, nowNanos - lastEventNanos);
    }
    lastEventNanos = nowNanos;
  }

  private static void record(Histogram histogram, long nanos) {
    synchronized (histogram) {
      histogram.recordValue(Math.min(nanos / 1_000, histogram.getHighestTrackableValue()));
    }
  }

  @Override
  public void onEnd() {
    completion.complete(status == HTTP_OK && events == expectedEvents);
  }

  @Override
  public void onFailure(HttpException failure) {
    completion.complete(false);
  }
}
