package org.toucansaddle.daemon.internal.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.replication.ReplicaStatus;
import org.toucansaddle.daemon.internal.logging.DecisionLog;
import org.toucansaddle.daemon.internal.placement.PlacementPlanner.Move;
import org.toucansaddle.protocol.generated.Command;
import org.toucansaddle.protocol.generated.CommandStatus;
import org.toucansaddle.protocol.generated.PlacementOrder;
import org.toucansaddle.protocol.generated.PoolReport;
import org.toucansaddle.protocol.generated.ProposeReply;
import org.toucansaddle.protocol.generated.ProposeRequest;

/**
 * Orders upstreams to load models. Active on the leader of the control replicas only.
 *
 * <p>Invariants: an order is sent only after it was committed, with its log index as fencing token,
 * and only while this replica's leader lease is valid. An upstream that does not check fencing
 * tokens gets no order until every order that a previous leader may have sent has arrived or timed
 * out.
 *
 * <p>Not thread-safe: called on the control thread only. Replies from the log and from upstreams
 * arrive on other threads and change no state.
 */
public final class PlacementController {

  private static final Logger LOG = LoggerFactory.getLogger(PlacementController.class);
  private static final int PLAN_INTERVAL_MILLIS = 1_000;
  private static final long REPORT_TTL_MILLIS = 8_000;
  private static final long UPSTREAM_COOLDOWN_MILLIS = 60_000;
  private static final long MODEL_LOAD_MILLIS = 20_000;

  private final Supplier<Optional<ReplicaStatus>> replica;
  private final Function<ProposeRequest, CompletableFuture<ProposeReply>> log;
  private final Supplier<Map<String, Integer>> firstTokenTargets;
  private final OrderClient orders;
  private final LongSupplier clock;
  private final long previousLeaseMillis;
  private final Map<String, PoolState> poolsByModel = new HashMap<>();
  private final Map<String, Long> lastOrderMillisByUpstream = new HashMap<>();
  private final Map<String, Long> lastOrderMillisByModel = new HashMap<>();
  private long leaderTerm;
  private long leaderSinceMillis;
  private long lastPlanMillis;

  /**
   * Creates a controller.
   *
   * @param replica supplies the status of this daemon's control replica, if it runs one
   * @param log proposes commands to the replicated log
   * @param firstTokenTargets supplies the tightest first-token target by model, in milliseconds
   * @param orders sends orders to upstreams
   * @param clock supplies monotonic milliseconds
   * @param previousLeaseMillis longest time for which a previous leader's lease may still be valid,
   *     in milliseconds
   */
  public PlacementController(
      Supplier<Optional<ReplicaStatus>> replica,
      Function<ProposeRequest, CompletableFuture<ProposeReply>> log,
      Supplier<Map<String, Integer>> firstTokenTargets,
      OrderClient orders,
      LongSupplier clock,
      long previousLeaseMillis) {
    this.replica = replica;
    this.log = log;
    this.firstTokenTargets = firstTokenTargets;
    this.orders = orders;
    this.clock = clock;
    this.previousLeaseMillis = previousLeaseMillis;
  }

  /** Records a pool report from the dispatcher of a model's pool. */
  public void onReport(String model, PoolReport report) {
    poolsByModel.put(model, PoolState.of(model, report, clock.getAsLong()));
  }

  /** Proposes the next order if this replica leads and a planning round is due. */
  public void tick() {
    long now = clock.getAsLong();
    if (now - lastPlanMillis < PLAN_INTERVAL_MILLIS) {
      return;
    }
    lastPlanMillis = now;
    Optional<ReplicaStatus> leaderStatus = replica.get().filter(ReplicaStatus::leaseValid);
    if (leaderStatus.isEmpty()) {
      leaderTerm = 0;
      return;
    }
    if (leaderStatus.get().term() != leaderTerm) {
      leaderTerm = leaderStatus.get().term();
      leaderSinceMillis = now;
    }
    poolsByModel.values().removeIf(pool -> now - pool.receivedAtMillis() > REPORT_TTL_MILLIS);
    lastOrderMillisByUpstream.values().removeIf(at -> now - at > UPSTREAM_COOLDOWN_MILLIS);
    lastOrderMillisByModel.values().removeIf(at -> now - at > MODEL_LOAD_MILLIS);
    // A new leader first waits until every dispatcher had time to report its pool.
    if (now - leaderSinceMillis > REPORT_TTL_MILLIS) {
      Map<String, Integer> targets = firstTokenTargets.get();
      PlacementPlanner.plan(
              poolsByModel.values(), targets, lastOrderMillisByModel.keySet(), this::canMove)
          .ifPresent(this::propose);
    }
  }

  private boolean canMove(MovableUpstream upstream) {
    boolean previousOrdersExpired =
        clock.getAsLong() - leaderSinceMillis
            > previousLeaseMillis + HttpOrderClient.TIMEOUT.toMillis();
    return !lastOrderMillisByUpstream.containsKey(upstream.id())
        && (upstream.checksFencing() || previousOrdersExpired);
  }

  private void propose(Move move) {
    lastOrderMillisByUpstream.put(move.upstream().id(), clock.getAsLong());
    lastOrderMillisByModel.put(move.model(), clock.getAsLong());
    PlacementOrder order =
        PlacementOrder.newBuilder()
            .setAction(PlacementOrder.Action.LOAD)
            .setUpstream(move.upstream().id())
            .setUpstreamIncarnation(move.upstream().incarnation())
            .setFromPool(move.fromPool())
            .setModel(move.model())
            .build();
    Command command =
        Command.newBuilder()
            .setCommandId(UUID.randomUUID().toString())
            .setPlacementOrder(order)
            .build();
    long term = leaderTerm;
    log.apply(ProposeRequest.newBuilder().setCommand(command).build())
        .thenAccept(proposeReply -> onProposeReply(move, order, term, proposeReply));
  }

  private void onProposeReply(
      Move move, PlacementOrder order, long term, ProposeReply proposeReply) {
    boolean accepted =
        proposeReply.getStatus() == ProposeReply.Status.DONE
            && proposeReply.getResult().getStatus() == CommandStatus.ACCEPTED;
    if (!accepted) {
      LOG.info(
          "placement order for upstream {} was not accepted: {}",
          order.getUpstream(),
          proposeReply.getResult().getMessage());
      return;
    }
    long fencingToken = proposeReply.getResult().getIndex();
    boolean isStillLeader =
        replica.get().filter(status -> status.leaseValid() && status.term() == term).isPresent();
    if (!isStillLeader) {
      DecisionLog.ordered(order, fencingToken, "not-sent-lease-lost");
      return;
    }
    DecisionLog.ordered(order, fencingToken, "sent");
    orders
        .send(move.upstream().address(), order, fencingToken)
        .whenComplete(
            (reply, failure) ->
                DecisionLog.ordered(
                    order, fencingToken, failure == null ? reply.name() : "unanswered"));
  }
}
