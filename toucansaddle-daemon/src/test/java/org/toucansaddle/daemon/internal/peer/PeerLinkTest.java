package org.toucansaddle.daemon.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ConnectivityState;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import org.toucansaddle.protocol.generated.PeerMessage;
import org.toucansaddle.protocol.generated.Probe;

/** Tests that {@link PeerLink} recovers from calls that fail. */
public class PeerLinkTest {

  private static final long REOPEN_WAIT_MILLIS = 250;

  private static PeerMessage message(long sequence) {
    return PeerMessage.newBuilder().setProbe(Probe.newBuilder().setSequence(sequence)).build();
  }

  @Test
  public void shouldReopenStreamAfterCallFailedDuringStart() throws InterruptedException {
    FailingChannel channel = new FailingChannel(1);
    PeerLink link = new PeerLink(channel, new PeerTraffic());
    link.send(message(1));
    Thread.sleep(REOPEN_WAIT_MILLIS);
    link.send(message(2));
    assertThat(channel.sentMessages).containsExactly(message(2));
  }

  /** Channel whose first calls fail while they are being started. */
  private static final class FailingChannel extends ManagedChannel {
    private final List<Object> sentMessages = new ArrayList<>();
    private int remainingFailures;

    FailingChannel(int failures) {
      this.remainingFailures = failures;
    }

    @Override
    public <I, O> ClientCall<I, O> newCall(MethodDescriptor<I, O> method, CallOptions options) {
      boolean fails = remainingFailures-- > 0;
      return new ClientCall<>() {
        @Override
        public void start(Listener<O> listener, Metadata headers) {
          if (fails) {
            listener.onClose(Status.UNAVAILABLE, new Metadata());
          }
        }

        @Override
        public void sendMessage(I message) {
          if (!fails) {
            sentMessages.add(message);
          }
        }

        @Override
        public boolean isReady() {
          return true;
        }

        @Override
        public void request(int count) {}

        @Override
        public void cancel(String message, Throwable cause) {}

        @Override
        public void halfClose() {}
      };
    }

    @Override
    public ConnectivityState getState(boolean connect) {
      return ConnectivityState.READY;
    }

    @Override
    public String authority() {
      return "test";
    }

    @Override
    public ManagedChannel shutdown() {
      return this;
    }

    @Override
    public ManagedChannel shutdownNow() {
      return this;
    }

    @Override
    public boolean isShutdown() {
      return false;
    }

    @Override
    public boolean isTerminated() {
      return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
      return true;
    }
  }
}
