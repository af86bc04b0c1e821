package org.toucansaddle.daemon.internal.gateway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.grpc.ServerServiceDefinition;
import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import io.grpc.stub.ServerCalls;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.internal.peer.FleetProof;
import org.toucansaddle.daemon.internal.peer.PeerClients;
import org.toucansaddle.daemon.internal.peer.PeerIdentity;
import org.toucansaddle.daemon.internal.peer.PeerServer;
import org.toucansaddle.daemon.internal.peer.PeerTls;
import org.toucansaddle.protocol.GatewayMethods;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.FollowerReport;

/** Tests over loopback which control daemons get the reports of a router. */
public class ControlFollowerTest {

  private static final Logger LOG = LoggerFactory.getLogger(ControlFollowerTest.class);

  private final FleetProof proof = new FleetProof("gateway", "secret-of-the-test");
  private final PeerTls tls = new PeerTls(Optional.empty());
  private EventLoopGroup eventLoop;
  private PeerClients clients;
  private Control lower;
  private Control higher;
  private ControlFollower follower;

  @BeforeMethod
  public void startFollower() throws IOException {
    eventLoop = new NioEventLoopGroup(1);
    List<String> addresses = Stream.generate(ControlFollowerTest::freeAddress).limit(2).toList();
    lower = new Control(addresses.stream().min(String::compareTo).orElseThrow());
    higher = new Control(addresses.stream().max(String::compareTo).orElseThrow());
    clients = new PeerClients(new PeerIdentity("r", "r", 1), proof, tls, eventLoop);
    RouterState state = new RouterState(content -> null, 6_000, System::nanoTime);
    follower =
        new ControlFollower("r", "z1", state, clients, () -> addresses, System::nanoTime, false);
    follower.step();
  }

  @AfterMethod(alwaysRun = true)
  public void close() {
    follower.close();
    clients.close();
    lower.server.close();
    higher.server.close();
    eventLoop.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
  }

  /** Returns an unused address whose port the system does not use for outgoing connections. */
  private static String freeAddress() {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return "127.0.0.1:" + socket.getLocalPort();
      } catch (IOException e) {
        LOG.debug("port {} is in use", port, e);
      }
    }
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long startedAt = System.nanoTime();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime() - startedAt).isLessThan(TimeUnit.SECONDS.toNanos(20));
      Thread.sleep(5);
    }
  }

  private void answer(Control control) throws InterruptedException {
    await(() -> control.updates != null);
    control.updates.onNext(FleetUpdate.getDefaultInstance());
    await(
        () -> follower.liveAddresses().contains(control.address) && !follower.primary().isEmpty());
  }

  @Test
  public void shouldReportForSumsToPrimaryOnly() throws Exception {
    answer(lower);
    answer(higher);
    follower.step();
    await(() -> lower.reports == 2 && higher.reports == 2);
    follower.stepSums();
    await(() -> lower.reports == 3);
    assertThat(lower.last.getWantsSums()).isTrue();
    assertThat(higher.last.getWantsSums()).isFalse();
    assertThat(higher.reports).isEqualTo(2);
  }

  /** Guards against sums of two daemons in turn, one of which knows only some of the routers. */
  @Test
  public void shouldTellPreviousPrimaryAtOnceThatAnotherOneSums() throws Exception {
    answer(higher);
    follower.step();
    await(() -> higher.reports == 2 && higher.last.getWantsSums());
    answer(lower);
    await(() -> follower.primary().equals(lower.address));
    follower.stepSums();
    await(() -> higher.reports == 3 && lower.reports == 2);
    assertThat(higher.last.getWantsSums()).isFalse();
    assertThat(lower.last.getWantsSums()).isTrue();
  }

  @Test
  public void shouldNotReportForSumsBeforeAnyControlDaemonIsLive() throws Exception {
    await(() -> lower.reports == 1 && higher.reports == 1);
    follower.stepSums();
    answer(lower);
    follower.step();
    await(() -> lower.reports == 2);
    assertThat(higher.reports).isEqualTo(1);
  }

  /** Control daemon that answers when it is told to. */
  private final class Control {
    private final String address;
    private final PeerServer server;
    private volatile StreamObserver<FleetUpdate> updates;
    private volatile FollowerReport last = FollowerReport.getDefaultInstance();
    private volatile int reports;

    Control(String address) throws IOException {
      this.address = address;
      server =
          PeerServer.start(
              address,
              List.of(
                  ServerServiceDefinition.builder(GatewayMethods.SERVICE)
                      .addMethod(
                          GatewayMethods.FOLLOW, ServerCalls.asyncBidiStreamingCall(this::follow))
                      .build()),
              proof,
              tls,
              eventLoop);
    }

    private StreamObserver<FollowerReport> follow(StreamObserver<FleetUpdate> stream) {
      return new StreamObserver<>() {
        @Override
        public void onNext(FollowerReport report) {
          last = report;
          reports++;
          updates = stream;
        }

        @Override
        public void onError(Throwable failure) {
          LOG.debug("the stream ended", failure);
        }

        @Override
        public void onCompleted() {
          stream.onCompleted();
        }
      };
    }
  }
}
