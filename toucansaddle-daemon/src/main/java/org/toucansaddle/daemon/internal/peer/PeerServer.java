package org.toucansaddle.daemon.internal.peer;

import io.grpc.Server;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptors;
import io.grpc.ServerServiceDefinition;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioServerSocketChannel;
import io.grpc.stub.ServerCalls;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.toucansaddle.protocol.PeerMethods;
import org.toucansaddle.protocol.generated.PeerMessage;

/** gRPC server for other daemons. Thread-safe. */
public final class PeerServer implements AutoCloseable {

  private static final int FLOW_CONTROL_WINDOW_BYTES = 1 << 20;
  private static final int MAX_MESSAGE_BYTES = 64 << 20;
  private static final int KEEP_ALIVE_INTERVAL_SECONDS = 10;
  private static final int CLOSE_TIMEOUT_SECONDS = 2;

  private final Server server;

  private PeerServer(Server server) {
    this.server = server;
  }

  /** Starts a server for {@code service} at an address of the form host:port. */
  public static PeerServer start(
      String address, PeerService service, FleetProof proof, PeerTls tls, EventLoopGroup eventLoops)
      throws IOException {
    return start(address, List.of(serviceDefinition(service)), proof, tls, eventLoops);
  }

  /** Starts a server for the given services at an address of the form host:port. */
  public static PeerServer start(
      String address,
      List<ServerServiceDefinition> services,
      FleetProof proof,
      PeerTls tls,
      EventLoopGroup eventLoops)
      throws IOException {
    NettyServerBuilder builder =
        NettyServerBuilder.forAddress(socketAddress(address))
            .bossEventLoopGroup(eventLoops)
            .workerEventLoopGroup(eventLoops)
            .channelType(NioServerSocketChannel.class)
            .directExecutor()
            .flowControlWindow(FLOW_CONTROL_WINDOW_BYTES)
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .keepAliveTime(KEEP_ALIVE_INTERVAL_SECONDS, TimeUnit.SECONDS)
            .permitKeepAliveTime(KEEP_ALIVE_INTERVAL_SECONDS / 2, TimeUnit.SECONDS)
            .addServices(
                services.stream()
                    .map(
                        service ->
                            ServerInterceptors.intercept(
                                service, PeerHeaders.verifyingInterceptor(proof)))
                    .toList());
    tls.configure(builder);
    return new PeerServer(builder.build().start());
  }

  private static InetSocketAddress socketAddress(String address) {
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon);
    return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
  }

  private static ServerServiceDefinition serviceDefinition(PeerService service) {
    return ServerServiceDefinition.builder(PeerMethods.SERVICE)
        .addMethod(PeerMethods.LINK, linkHandler(service::onMessage))
        .addMethod(PeerMethods.PROPOSE, unaryHandler(service::propose))
        .addMethod(PeerMethods.FETCH_CONFIGURATION, unaryHandler(service::fetchConfiguration))
        .addMethod(PeerMethods.PROBE_REPLICA, unaryHandler(service::probeReplica))
        .build();
  }

  /** Returns a handler that passes each message of a stream and its sender to the receiver. */
  public static ServerCallHandler<PeerMessage, PeerMessage> linkHandler(
      BiConsumer<PeerIdentity, PeerMessage> receiver) {
    return ServerCalls.asyncClientStreamingCall(replies -> linkObserver(receiver, replies));
  }

  /** Returns a handler for unary calls; a failed future is reported as UNAVAILABLE. */
  public static <I, O> ServerCallHandler<I, O> unaryHandler(
      Function<I, CompletableFuture<O>> call) {
    return ServerCalls.asyncUnaryCall(
        (request, replies) ->
            call.apply(request)
                .whenComplete(
                    (reply, failure) -> {
                      if (failure == null) {
                        replies.onNext(reply);
                        replies.onCompleted();
                      } else {
                        replies.onError(
                            Status.UNAVAILABLE
                                .withDescription(String.valueOf(failure.getMessage()))
                                .asRuntimeException());
                      }
                    }));
  }

  private static StreamObserver<PeerMessage> linkObserver(
      BiConsumer<PeerIdentity, PeerMessage> receiver, StreamObserver<PeerMessage> replies) {
    PeerIdentity caller = PeerHeaders.CALLER.get();
    return new StreamObserver<>() {
      @Override
      public void onNext(PeerMessage message) {
        receiver.accept(caller, message);
      }

      @Override
      public void onError(Throwable failure) {
        // The sender opens a new stream with its next message.
      }

      @Override
      public void onCompleted() {
        replies.onCompleted();
      }
    };
  }

  @Override
  public void close() {
    server.shutdownNow();
    try {
      server.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
