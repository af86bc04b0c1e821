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

/** Tests which orders a control replica proposes and sends as its leadership changes. */
public class PlacementControllerTest {

  private static final int PREVIOUS_LEASE_MILLIS = 20_000;

  private List<Long> sentFencingTokens;
  private List<CompletableFuture<ProposeReply>> proposals;
  private PlacementController controller;
  private long nowMillis;
  private boolean isLeader;
  private long term;

  @BeforeMethod
  public void create() {
    sentFencingTokens = new ArrayList<>();
    proposals = new ArrayList<>();
    nowMillis = 100_000;
    isLeader = true;
    term = 3;
    controller =
        new PlacementController(
            () -> Optional.of(status()),
            this::propose,
            () -> Map.of("b", 1_000),
            (address, order, fencingToken) -> {
              sentFencingTokens.add(fencingToken);
              return CompletableFuture.completedFuture(OrderClient.Reply.ACCEPTED);
            },
            () -> nowMillis,
            PREVIOUS_LEASE_MILLIS);
  }

  private ReplicaStatus status() {
    ReplicaId self = new ReplicaId("router-1", 1);
    ReplicaStatus.Role role = isLeader ? ReplicaStatus.Role.LEADER : ReplicaStatus.Role.FOLLOWER;
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
        isLeader);
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

  /** Advances the clock in ticks while reporting a standby upstream that can load model b. */
  private void advance(long millis, boolean checksFencing) {
    for (long endMillis = nowMillis + millis; nowMillis < endMillis; nowMillis += 500) {
      Announcement standby =
          Announcement.newBuilder()
              .setId("spare")
              .setAddress("127.0.0.1:1")
              .setSlots(4)
              .addLoadable("b")
              .setChecksFencing(checksFencing)
              .build();
      controller.onReport("standby", PoolReport.newBuilder().addMovable(standby).build());
      controller.tick();
    }
  }

  @Test
  public void shouldSendOrderOnlyAfterCommit() {
    advance(12_000, true);
    assertThat(proposals).hasSize(1);
    assertThat(sentFencingTokens).isEmpty();
    commit(41);
    assertThat(sentFencingTokens).containsExactly(41L);
  }

  @Test
  public void shouldNotProposeOrdersWhenNotLeader() {
    isLeader = false;
    advance(60_000, true);
    assertThat(proposals).isEmpty();
  }

  @Test
  public void shouldNotSendOrderCommittedAfterLeaseLoss() {
    advance(12_000, true);
    isLeader = false;
    commit(41);
    assertThat(sentFencingTokens).isEmpty();
  }

  @Test
  public void shouldNotSendOrderProposedInPreviousTerm() {
    advance(12_000, true);
    term = 5;
    commit(41);
    assertThat(sentFencingTokens).isEmpty();
  }

  @Test
  public void shouldWaitForPreviousLeaseWhenUpstreamDoesNotCheckFencing() {
    advance(PREVIOUS_LEASE_MILLIS, false);
    assertThat(proposals).isEmpty();
    advance(3_000, false);
    assertThat(proposals).hasSize(1);
  }

  @Test
  public void shouldNotOrderModelAgainWhileItIsLoading() {
    advance(12_000, true);
    commit(41);
    advance(10_000, true);
    assertThat(proposals).hasSize(1);
  }
}
