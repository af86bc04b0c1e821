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

  private static final long REOPEN_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final int MAX_UNREADY = 512;

  private final ManagedChannel channel;
  private final PeerTraffic traffic;
  private final Deque<PeerMessage> deferred = new ArrayDeque<>();
  private ClientCallStreamObserver<PeerMessage> stream;
  private long openedAt;
  private int unready;

  PeerLink(ManagedChannel channel, PeerTraffic traffic) {
    this.channel = channel;
    this.traffic = traffic;
  }

  /** Returns the channel for a call; one that failed to connect tries again at once. */
  ManagedChannel channel() {
    retryConnect();
    return channel;
  }

  /**
   * The pauses between attempts to connect grow to minutes, which a restarted daemon can't wait.
   */
  private void retryConnect() {
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
    if (stream == null && !open()) {
      return;
    }
    unready = stream.isReady() ? 0 : unready + 1;
    if (unready > MAX_UNREADY) {
      return;
    }
    traffic.sent(message);
    stream.onNext(message);
  }

  private boolean open() {
    long now = System.nanoTime();
    if (openedAt != 0 && now - openedAt < REOPEN_NANOS) {
      return false;
    }
    openedAt = now;
    unready = 0;
    retryConnect();
    Watcher watcher = new Watcher();
    ClientCallStreamObserver<PeerMessage> started =
        (ClientCallStreamObserver<PeerMessage>)
            ClientCalls.asyncClientStreamingCall(
                channel.newCall(PeerMethods.LINK, CallOptions.DEFAULT), watcher);
    stream = watcher.ended ? null : started;
    return stream != null;
  }

  private synchronized void broken(ClientCallStreamObserver<PeerMessage> ended) {
    if (stream == ended) {
      stream = null;
    }
  }

  void close() {
    channel.shutdownNow();
  }

  /** Learns when a stream ends, which may be while it is opened. */
  private final class Watcher implements ClientResponseObserver<PeerMessage, PeerMessage> {
    private ClientCallStreamObserver<PeerMessage> watched;
    private volatile boolean ended;

    @Override
    public void beforeStart(ClientCallStreamObserver<PeerMessage> requests) {
      watched = requests;
    }

    @Override
    public void onNext(PeerMessage message) {
      // The receiver never answers on the stream.
    }

    @Override
    public void onError(Throwable failure) {
      ended = true;
      broken(watched);
    }

    @Override
    public void onCompleted() {
      ended = true;
      broken(watched);
    }
  }
}
