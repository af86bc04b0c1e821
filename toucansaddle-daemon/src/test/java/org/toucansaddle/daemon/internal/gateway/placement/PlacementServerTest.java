package org.toucansaddle.daemon.internal.gateway.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.grpc.stub.StreamObserver;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.CallerLimits;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.ServiceDefinition;
import org.toucansaddle.daemon.gateway.ServiceDefinition.EngineCapacity;
import org.toucansaddle.daemon.gateway.StoredDocument;
import org.toucansaddle.daemon.internal.gateway.control.FleetState;
import org.toucansaddle.daemon.internal.gateway.routing.RouterState;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.PlacementAnswer;
import org.toucansaddle.protocol.generated.PlacementAnswer.Refusal;
import org.toucansaddle.protocol.generated.PlacementAsk;
import org.toucansaddle.protocol.generated.PlacementMessage;
import org.toucansaddle.protocol.generated.PlacementReply;
import org.toucansaddle.protocol.generated.SharedPart;
import org.toucansaddle.protocol.generated.UpstreamMessage;
import org.toucansaddle.protocol.generated.UpstreamWork;

/** Tests of {@link PlacementServer} without a network. */
public class PlacementServerTest {

  private static final int SLOTS = 2;

  /** Largest value of an unsigned field, which Java reads as -1. */
  private static final int UNSIGNED_MAX = -1;

  private static final class Replies implements StreamObserver<PlacementReply> {
    private final List<PlacementReply> replies = new ArrayList<>();
    private boolean failed;

    @Override
    public void onNext(PlacementReply reply) {
      replies.add(reply);
    }

    @Override
    public void onError(Throwable failure) {
      failed = true;
    }

    @Override
    public void onCompleted() {
      failed = false;
    }

    List<PlacementAnswer> answers() {
      return replies.stream().flatMap(reply -> reply.getAnswersList().stream()).toList();
    }
  }

  private PlacementServer server;
  private Replies replies;
  private StreamObserver<PlacementMessage> stream;
  private long now;

  @BeforeMethod
  public void start() {
    now = TimeUnit.SECONDS.toNanos(100);
    RouterState state = new RouterState(content -> document(), 6_000, () -> now);
    StoredDocument stored = new StoredDocument(1, "1".getBytes(StandardCharsets.UTF_8));
    state.applyConfirmed(FleetState.none().withDocument(stored));
    state.update(
        "c1",
        FleetUpdate.newBuilder()
            .addUpstreams(
                UpstreamMessage.newBuilder()
                    .setId("e1")
                    .setService("model")
                    .setAddress("127.0.0.1:1")
                    .setZone("z1")
                    .setSlots(SLOTS)
                    .setStartedAtMillis(1)
                    .setSequence(1))
            .setComplete(true)
            .build());
    server = new PlacementServer(state, () -> now);
    server.refresh();
    replies = new Replies();
    stream = server.place(replies);
  }

  private static FleetDocument document() {
    ServiceDefinition model =
        new ServiceDefinition(
            "model", "/healthz", 100, Optional.of(new EngineCapacity(SLOTS, 100_000)));
    ServiceDefinition desk = new ServiceDefinition("desk", "/healthz", 100, Optional.empty());
    CallerLimits limits = new CallerLimits(16 << 10, 4 << 20, 3_000, 15_000, 100_000);
    return new FleetDocument(1, List.of(), List.of(model, desk), Optional.empty(), limits);
  }

  private static PlacementAsk.Builder ask(long id) {
    return PlacementAsk.newBuilder()
        .setId(id)
        .setService("model")
        .setAccount("a")
        .setPromptTokens(100)
        .setOutputTokens(10)
        .setTargetMillis(800)
        .setRemainingMillis(5_000)
        .addSharedParts(SharedPart.newBuilder().setId("p").setTokens(50));
  }

  private static PlacementMessage.Builder message(long sequence) {
    return PlacementMessage.newBuilder().setRouter("r1").setZone("z1").setSequence(sequence);
  }

  @Test
  public void shouldAnswerAskWithAcknowledgement() {
    stream.onNext(message(1).addAsks(ask(5)).build());
    assertThat(replies.replies).hasSize(1);
    assertThat(replies.replies.get(0).getAcknowledged()).isEqualTo(1);
    assertThat(replies.answers().get(0).getAsk()).isEqualTo(5);
    assertThat(replies.answers().get(0).getUpstream()).isEqualTo("e1");
  }

  @DataProvider
  public Object[][] servicesWithoutPlacement() {
    return new Object[][] {{"desk"}, {"unknown"}, {""}};
  }

  @Test(dataProvider = "servicesWithoutPlacement")
  public void shouldLeaveOtherServicesToRouter(String service) {
    stream.onNext(message(1).addAsks(ask(5).setService(service)).build());
    assertThat(replies.answers().get(0).getGrant()).isZero();
    assertThat(replies.answers().get(0).getRefusal()).isEqualTo(Refusal.UNDECIDED);
  }

  @Test
  public void shouldAnswerWaitingRequestWhenSlotIsGivenBack() {
    stream.onNext(message(1).addAsks(ask(1)).addAsks(ask(2)).addAsks(ask(3)).build());
    assertThat(replies.answers()).hasSize(SLOTS);
    assertThat(server.waitingCount()).isEqualTo(1);
    stream.onNext(message(2).addEnded(replies.answers().get(0).getGrant()).build());
    assertThat(replies.answers()).hasSize(SLOTS + 1);
  }

  @Test
  public void shouldRefuseWaitingRequestInTime() {
    stream.onNext(message(1).addAsks(ask(1)).addAsks(ask(2)).addAsks(ask(3)).build());
    now += TimeUnit.MILLISECONDS.toNanos(800);
    server.expire();
    assertThat(replies.answers().get(SLOTS).getRefusal()).isEqualTo(Refusal.NO_SLOT);
  }

  @DataProvider
  public Object[][] malformedAsks() {
    return new Object[][] {
      {ask(1).setPromptTokens(UNSIGNED_MAX)},
      {ask(1).setOutputTokens(UNSIGNED_MAX)},
      {ask(1).setTargetMillis(UNSIGNED_MAX)},
      {ask(1).setTargetMillis(0)},
      {ask(1).setRemainingMillis(UNSIGNED_MAX)},
      {ask(1).addSharedParts(SharedPart.newBuilder().setTokens(UNSIGNED_MAX))},
      {ask(1).clearAccount().clearSharedParts().setPromptTokens(0)},
    };
  }

  /** Guards against one malformed message that fails the requests after it. */
  @Test(dataProvider = "malformedAsks")
  public void shouldGoOnAfterMalformedAsk(PlacementAsk.Builder malformed) {
    stream.onNext(message(1).addAsks(malformed).build());
    stream.onNext(
        message(2)
            .addAllEnded(replies.answers().stream().map(PlacementAnswer::getGrant).toList())
            .addEnded(12_345)
            .addCancelled(12_345)
            .build());
    stream.onNext(message(3).addAsks(ask(2)).build());
    PlacementAnswer last = replies.answers().get(replies.answers().size() - 1);
    assertThat(last.getAsk()).isEqualTo(2);
    assertThat(last.getUpstream()).isEqualTo("e1");
  }

  @Test
  public void shouldFreeSlotsOfRouterThatIsSilent() {
    stream.onNext(message(1).addAsks(ask(1)).addAsks(ask(2)).build());
    now += TimeUnit.SECONDS.toNanos(3);
    server.refresh();
    assertThat(server.grantedCount()).isZero();
    assertThat(replies.failed).isTrue();
  }

  @Test
  public void shouldCountWorkThatRouterReports() {
    UpstreamWork full =
        UpstreamWork.newBuilder().setUpstream("e1").setRequests(SLOTS).setMemoryTokens(100).build();
    stream.onNext(message(1).addOtherWork(full).setHasOtherWork(true).addAsks(ask(1)).build());
    assertThat(replies.answers()).isEmpty();
    stream.onNext(message(2).setHasOtherWork(true).build());
    server.expire();
    assertThat(replies.answers()).hasSize(1);
  }
}
