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

/** Stream of messages to one daemon, opened again after it broke. Thread-safe. */
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

  /** Returns the channel for a call; one that failed to connect tries again at once. */
  ManagedChannel channel() {
    skipConnectBackoff();
    return channel;
  }

  /**
   * The pauses between attempts to connect grow to minutes, which a restarted daemon can't wait.
   */
  private void skipConnectBackoff() {
    if (channel.getState(false) == ConnectivityState.TRANSIENT_FAILURE) {
      channel.resetConnectBackoff();
    }
  }

  /** Keeps a message until the next one is sent or {@link #flush} is called. */
  synchronized void defer(PeerMessage message) {
    deferred.add(message);
  }

  /** Sends what was deferred. */
  synchronized void flush() {
    for (PeerMessage next = deferred.poll(); next != null; next = deferred.poll()) {
      sendNow(next);
    }
  }

  /** Sends what was deferred and a message, which then share a packet. */
  synchronized void send(PeerMessage message) {
    flush();
    sendNow(message);
  }

  /** Drops a message if the stream broke a moment ago or is backed up. */
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
    long now = System.nanoTime();
    if (lastOpenAttemptNanos != 0 && now - lastOpenAttemptNanos < MIN_REOPEN_INTERVAL_NANOS) {
      return false;
    }
    lastOpenAttemptNanos = now;
    notReadySends = 0;
    skipConnectBackoff();
    StreamEndObserver watcher = new StreamEndObserver();
    ClientCallStreamObserver<PeerMessage> started =
        (ClientCallStreamObserver<PeerMessage>)
            ClientCalls.asyncClientStreamingCall(
                channel.newCall(PeerMethods.LINK, CallOptions.DEFAULT), watcher);
    stream = watcher.ended ? null : started;
    return stream != null;
  }

  private synchronized void clearEndedStream(ClientCallStreamObserver<PeerMessage> ended) {
    if (stream == ended) {
      stream = null;
    }
  }

  void close() {
    channel.shutdownNow();
  }

  /** Learns when a stream ends, which may be while it is opened. */
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
      // The receiver never answers on the stream.
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
