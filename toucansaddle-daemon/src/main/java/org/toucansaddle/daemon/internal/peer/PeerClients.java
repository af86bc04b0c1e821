package org.toucansaddle.daemon.internal.peer;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.MethodDescriptor;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.netty.channel.ChannelOption;
import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioSocketChannel;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.MetadataUtils;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.protocol.generated.PeerMessage;

/**
 * Client connections to other daemons, by address.
 *
 * <p>Messages to an address are sent in order on a single stream. While the stream is broken, they
 * are dropped. Thread-safe.
 */
public final class PeerClients implements AutoCloseable {

  private static final int FLOW_CONTROL_WINDOW_BYTES = 1 << 20;
  private static final int MAX_MESSAGE_BYTES = 64 << 20;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_500;
  private static final int MAX_DEFERRAL_MILLIS = 300;
  private static final int KEEP_ALIVE_INTERVAL_SECONDS = 20;
  private static final int KEEP_ALIVE_TIMEOUT_SECONDS = 3;

  private final PeerIdentity self;
  private final FleetProof proof;
  private final PeerTls tls;
  private final EventLoopGroup eventLoops;
  private final PeerTraffic traffic = new PeerTraffic();
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();

  /** Creates an instance without connections; they are opened on first use. */
  public PeerClients(PeerIdentity self, FleetProof proof, PeerTls tls, EventLoopGroup eventLoops) {
    this.self = self;
    this.proof = proof;
    this.tls = tls;
    this.eventLoops = eventLoops;
  }

  /** Returns the counters of sent messages. */
  public PeerTraffic traffic() {
    return traffic;
  }

  /** Sends a message, or drops it if the stream is broken or its send buffer is full for long. */
  public void send(String address, PeerMessage message) {
    linkTo(address).send(message);
  }

  /**
   * Sends a message with the next one to the same address, or after the maximum deferral.
   *
   * <p>Small messages are batched into one packet because the packet's headers and acknowledgement
   * cost more than the messages themselves.
   */
  public void sendDeferred(String address, PeerMessage message) {
    PeerLink link = linkTo(address);
    link.defer(message);
    eventLoops.schedule(link::flush, MAX_DEFERRAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Makes a unary call; the future fails if no reply arrives within the timeout. */
  public <I, O> CompletableFuture<O> call(
      String address, MethodDescriptor<I, O> method, I request, Duration timeout) {
    CompletableFuture<O> future = new CompletableFuture<>();
    CallOptions options =
        CallOptions.DEFAULT.withDeadlineAfter(timeout.toMillis(), TimeUnit.MILLISECONDS);
    ClientCalls.asyncUnaryCall(
        linkTo(address).channel().newCall(method, options),
        request,
        new UnaryReplyObserver<>(future));
    return future;
  }

  /** Opens a bidirectional stream; {@code receiver} handles the other side's messages. */
  public <I, O> StreamObserver<I> openStream(
      String address, MethodDescriptor<I, O> method, StreamObserver<O> receiver) {
    return ClientCalls.asyncBidiStreamingCall(
        linkTo(address).channel().newCall(method, CallOptions.DEFAULT), receiver);
  }

  /** Closes the connection to an address; the next message opens a new one. */
  public void reconnect(String address) {
    PeerLink link = links.remove(address);
    if (link != null) {
      link.close();
    }
  }

  private PeerLink linkTo(String address) {
    return links.computeIfAbsent(
        address, linkAddress -> new PeerLink(openChannel(linkAddress), traffic));
  }

  private ManagedChannel openChannel(String address) {
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon);
    int port = Integer.parseInt(address.substring(colon + 1));
    NettyChannelBuilder builder =
        NettyChannelBuilder.forAddress(host, port)
            .eventLoopGroup(eventLoops)
            .channelType(NioSocketChannel.class)
            .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .directExecutor()
            .flowControlWindow(FLOW_CONTROL_WINDOW_BYTES)
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .keepAliveTime(KEEP_ALIVE_INTERVAL_SECONDS, TimeUnit.SECONDS)
            .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .disableServiceConfigLookUp()
            .disableRetry()
            .intercept(MetadataUtils.newAttachHeadersInterceptor(PeerHeaders.create(self, proof)));
    tls.configure(builder);
    return builder.build();
  }

  @Override
  public void close() {
    links.keySet().forEach(this::reconnect);
  }

  /** Completes a future with the reply of a unary call. */
  private static final class UnaryReplyObserver<O> implements StreamObserver<O> {
    private final CompletableFuture<O> future;

    UnaryReplyObserver(CompletableFuture<O> future) {
      this.future = future;
    }

    @Override
    public void onNext(O reply) {
      future.complete(reply);
    }

    @Override
    public void onError(Throwable failure) {
      future.completeExceptionally(failure);
    }

    @Override
    public void onCompleted() {
      future.completeExceptionally(new IllegalStateException("the call ended without a reply"));
    }
  }
}
