package org.toucansaddle.standins.load;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import org.toucansaddle.http.HttpException;
import org.toucansaddle.http.HttpStreamHandler;

/**
 * Receives one streamed answer and notes when its events arrived.
 *
 * <p>Runs on the connection's thread; the histograms are shared and locked.
 */
final class StreamedRequest implements HttpStreamHandler {

  private static final byte[] EVENT = "data:".getBytes(StandardCharsets.US_ASCII);
  private static final int OK = 200;

  private final Histogram firstToken;
  private final Histogram tokenGap;
  private final int expectedEvents;
  private final CompletableFuture<Boolean> whole = new CompletableFuture<>();
  private final long sentAt = System.nanoTime();
  private long lastAt;
  private int matched;
  private int events;
  private int status;

  /**
   * Creates a receiver.
   *
   * @param firstToken histogram of times to the first token, in microseconds
   * @param tokenGap histogram of times between tokens, in microseconds
   * @param tokens tokens of the whole answer
   */
  StreamedRequest(Histogram firstToken, Histogram tokenGap, int tokens) {
    this.firstToken = firstToken;
    this.tokenGap = tokenGap;
    this.expectedEvents = tokens + 2;
  }

  /** Returns whether the answer came whole. */
  CompletableFuture<Boolean> whole() {
    return whole;
  }

  @Override
  public void onHead(int newStatus, Map<String, String> headers) {
    status = newStatus;
  }

  @Override
  public void onData(ByteBuffer data) {
    int before = events;
    while (data.hasRemaining()) {
      byte next = data.get();
      matched = next == EVENT[matched] ? matched + 1 : next == EVENT[0] ? 1 : 0;
      if (matched == EVENT.length) {
        events++;
        matched = 0;
      }
    }
    if (events > before && status == OK) {
      note();
    }
  }

  private void note() {
    long now = System.nanoTime();
    if (lastAt == 0) {
      record(firstToken, now - sentAt);
    } else {
      record(tokenGap, now - lastAt);
    }
    lastAt = now;
  }

  private static void record(Histogram histogram, long nanos) {
    synchronized (histogram) {
      histogram.recordValue(Math.min(nanos / 1_000, histogram.getHighestTrackableValue()));
    }
  }

  @Override
  public void onEnd() {
    whole.complete(status == OK && events == expectedEvents);
  }

  @Override
  public void onFailure(HttpException failure) {
    whole.complete(false);
  }
}
