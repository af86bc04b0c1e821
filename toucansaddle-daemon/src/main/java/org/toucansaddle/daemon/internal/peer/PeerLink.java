package org.toucansaddle.daemon.internal.peer;

import io.grpc.CallOptions;
import io.grpc.ConnectivityState;
import io.grpc.ManagedChannel;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.ClientResponseObserver;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.protocol.PeerMethods;
import org.toucansaddle.protocol.generated.PeerMessage;

/**
 * Stream of messages to one daemon, reopened after a failure.
 *
 * <p>Messages are dropped while the stream cannot be opened or stays not ready for too many sends.
 * Thread-safe.
 */
final class PeerLink {

  private static final long MIN_REOPEN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final int MAX_NOT_READY_SENDS = 512;

  private final ManagedChannel channel;
  private final PeerTraffic traffic;
  private final Deque<PeerMessage> deferred = new ArrayDeque<>();
  private ClientCallStreamObserver<PeerMessage> stream;
  private long lastOpenAttemptNanos;
  private int notReadySends;

  PeerLink(ManagedChannel channel, PeerTraffic traffic) {
    this.channel = channel;
    this.traffic = traffic;
  }

  /** Returns the channel for a call; a channel that failed to connect retries immediately. */
  ManagedChannel channel() {
    skipConnectBackoff();
    return channel;
  }

  /**
   * Makes a channel in connect backoff retry immediately.
   *
   * <p>gRPC's backoff grows to minutes, which is too long for a restarted daemon.
   */
  private void skipConnectBackoff() {
    if (channel.getState(false) == ConnectivityState.TRANSIENT_FAILURE) {
      channel.resetConnectBackoff();
    }
  }

  /** Buffers a message until the next send or {@link #flush}. */
  synchronized void defer(PeerMessage message) {
    deferred.add(message);
  }

  /** Sends the deferred messages. */
  synchronized void flush() {
    for (PeerMessage next = deferred.poll(); next != null; next = deferred.poll()) {
      sendNow(next);
    }
  }

  /** Sends the deferred messages and this one, so that they share a packet. */
  synchronized void send(PeerMessage message) {
    flush();
    sendNow(message);
  }

  /**
   * Sends a message; drops it if no stream can be opened or the stream is not ready for too long.
   */
  private void sendNow(PeerMessage message) {
    if (stream == null && !openStream()) {
      return;
    }
    notReadySends = stream.isReady() ? 0 : notReadySends + 1;
    if (notReadySends > MAX_NOT_READY_SENDS) {
      return;
    }
    traffic.recordSent(message);
    stream.onNext(message);
  }

  private boolean openStream() {
    long nowNanos = System.nanoTime();
    if (lastOpenAttemptNanos != 0 && nowNanos - lastOpenAttemptNanos < MIN_REOPEN_INTERVAL_NANOS) {
      return false;
    }
    lastOpenAttemptNanos = nowNanos;
    notReadySends = 0;
    skipConnectBackoff();
    StreamEndObserver endObserver = new StreamEndObserver();
    ClientCallStreamObserver<PeerMessage> newStream =
        (ClientCallStreamObserver<PeerMessage>)
            ClientCalls.asyncClientStreamingCall(
                channel.newCall(PeerMethods.LINK, CallOptions.DEFAULT), endObserver);
    stream = endObserver.ended ? null : newStream;
    return stream != null;
  }

  private synchronized void clearEndedStream(ClientCallStreamObserver<PeerMessage> endedStream) {
    if (stream == endedStream) {
      stream = null;
    }
  }

  void close() {
    channel.shutdownNow();
  }

  /** Observes the end of a stream, which may occur while the stream is being opened. */
  private final class StreamEndObserver
      implements ClientResponseObserver<PeerMessage, PeerMessage> {
    private ClientCallStreamObserver<PeerMessage> observedStream;
    private volatile boolean ended;

    @Override
    public void beforeStart(ClientCallStreamObserver<PeerMessage> requests) {
      observedStream = requests;
    }

    @Override
    public void onNext(PeerMessage message) {
      // The receiver sends no messages on this stream.
    }

    @Override
    public void onError(Throwable failure) {
      ended = true;
      clearEndedStream(observedStream);
    }

    @Override
    public void onCompleted() {
      ended = true;
      clearEndedStream(observedStream);
    }
  }
}
