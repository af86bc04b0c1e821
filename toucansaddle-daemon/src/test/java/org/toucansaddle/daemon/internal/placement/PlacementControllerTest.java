package org.toucansaddle.daemon.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.ReplicaSet;
import org.toucansaddle.coordination.replication.ReplicaStatus;
import org.toucansaddle.protocol.generated.Announcement;
import org.toucansaddle.protocol.generated.CommandResult;
import org.toucansaddle.protocol.generated.CommandStatus;
import org.toucansaddle.protocol.generated.PoolReport;
import org.toucansaddle.protocol.generated.ProposeReply;
import org.toucansaddle.protocol.generated.ProposeRequest;

/** Orders of a control replica while it leads, stops leading and leads again. */
public class PlacementControllerTest {

  private static final int OLD_LEASE_MILLIS = 20_000;

  private List<Long> sentFencing;
  private List<CompletableFuture<ProposeReply>> proposals;
  private PlacementController controller;
  private long now;
  private boolean leads;
  private long term;

  @BeforeMethod
  public void create() {
    sentFencing = new ArrayList<>();
    proposals = new ArrayList<>();
    now = 100_000;
    leads = true;
    term = 3;
    controller =
        new PlacementController(
            () -> Optional.of(status()),
            this::propose,
            () -> Map.of("b", 1_000),
            (address, order, fencing) -> {
              sentFencing.add(fencing);
              return CompletableFuture.completedFuture(OrderClient.Reply.ACCEPTED);
            },
            () -> now,
            OLD_LEASE_MILLIS);
  }

  private ReplicaStatus status() {
    ReplicaId self = new ReplicaId("router-1", 1);
    ReplicaStatus.Role role = leads ? ReplicaStatus.Role.LEADER : ReplicaStatus.Role.FOLLOWER;
    return new ReplicaStatus(
        self,
        role,
        term,
        Optional.of(self),
        9,
        9,
        9,
        ReplicaSet.ofVoters(List.of(self)),
        true,
        Map.of(),
        Set.of(),
        leads);
  }

  private CompletableFuture<ProposeReply> propose(ProposeRequest request) {
    CompletableFuture<ProposeReply> reply = new CompletableFuture<>();
    proposals.add(reply);
    return reply;
  }

  private void commit(long index) {
    CommandResult result =
        CommandResult.newBuilder().setStatus(CommandStatus.ACCEPTED).setIndex(index).build();
    proposals
        .get(proposals.size() - 1)
        .complete(
            ProposeReply.newBuilder()
                .setStatus(ProposeReply.Status.DONE)
                .setResult(result)
                .build());
  }

  /** Lets time pass while a spare upstream is reported that could load model b. */
  private void pass(long millis, boolean checksFencing) {
    for (long end = now + millis; now < end; now += 500) {
      Announcement spare =
          Announcement.newBuilder()
              .setId("spare")
              .setAddress("127.0.0.1:1")
              .setSlots(4)
              .addLoadable("b")
              .setChecksFencing(checksFencing)
              .build();
      controller.onReport("standby", PoolReport.newBuilder().addMovable(spare).build());
      controller.tick();
    }
  }

  @Test
  public void shouldSendAnOrderOnlyAfterItWasCommitted() {
    pass(12_000, true);
    assertThat(proposals).hasSize(1);
    assertThat(sentFencing).isEmpty();
    commit(41);
    assertThat(sentFencing).containsExactly(41L);
  }

  @Test
  public void shouldOrderNothingWithoutLeading() {
    leads = false;
    pass(60_000, true);
    assertThat(proposals).isEmpty();
  }

  @Test
  public void shouldNotSendWhatWasCommittedAfterTheLeaseWasLost() {
    pass(12_000, true);
    leads = false;
    commit(41);
    assertThat(sentFencing).isEmpty();
  }

  @Test
  public void shouldNotSendWhatAnEarlierTermDecided() {
    pass(12_000, true);
    term = 5;
    commit(41);
    assertThat(sentFencing).isEmpty();
  }

  @Test
  public void shouldWaitOutTheOldLeaseForAnUpstreamThatChecksNothing() {
    pass(OLD_LEASE_MILLIS, false);
    assertThat(proposals).isEmpty();
    pass(3_000, false);
    assertThat(proposals).hasSize(1);
  }

  @Test
  public void shouldNotOrderAgainWhileTheModelIsLoaded() {
    pass(12_000, true);
    commit(41);
    pass(10_000, true);
    assertThat(proposals).hasSize(1);
  }
}
