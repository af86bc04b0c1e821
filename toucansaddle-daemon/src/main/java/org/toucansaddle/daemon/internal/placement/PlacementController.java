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
 * Orders upstreams to load models, on the leader of the control replicas.
 *
 * <p>Invariants: an order is sent only after it was committed, with its index in the log as fencing
 * number; it is sent only while this replica's lease is valid. To an upstream that does not check
 * fencing numbers nothing is sent until every order that an earlier leader may have sent has
 * arrived or timed out. Called on the control thread only; the log's and the upstreams' answers
 * arrive on other threads and change no state.
 */
public final class PlacementController {

  private static final Logger LOG = LoggerFactory.getLogger(PlacementController.class);
  private static final int PLAN_MILLIS = 1_000;
  private static final long REPORT_VALID_MILLIS = 8_000;
  private static final long COOL_DOWN_MILLIS = 60_000;
  private static final long LOAD_MILLIS = 20_000;

  private final Supplier<Optional<ReplicaStatus>> replica;
  private final Function<ProposeRequest, CompletableFuture<ProposeReply>> log;
  private final Supplier<Map<String, Integer>> firstTokenTargets;
  private final OrderClient orders;
  private final LongSupplier clock;
  private final long oldLeaseMillis;
  private final Map<String, PoolState> pools = new HashMap<>();
  private final Map<String, Long> orderedAt = new HashMap<>();
  private final Map<String, Long> modelOrderedAt = new HashMap<>();
  private long ledTerm;
  private long leadsSince;
  private long plannedAt;

  /**
   * Creates a controller.
   *
   * @param replica state of this daemon's replica, if it has one
   * @param log proposes orders to the replicated log
   * @param firstTokenTargets tightest first-token target by model, in milliseconds
   * @param orders brings orders to upstreams
   * @param clock monotonic milliseconds
   * @param oldLeaseMillis longest time for which an earlier leader may believe to lead
   */
  public PlacementController(
      Supplier<Optional<ReplicaStatus>> replica,
      Function<ProposeRequest, CompletableFuture<ProposeReply>> log,
      Supplier<Map<String, Integer>> firstTokenTargets,
      OrderClient orders,
      LongSupplier clock,
      long oldLeaseMillis) {
    this.replica = replica;
    this.log = log;
    this.firstTokenTargets = firstTokenTargets;
    this.orders = orders;
    this.clock = clock;
    this.oldLeaseMillis = oldLeaseMillis;
  }

  /** Takes a report of a pool's dispatcher; {@code model} is the pool's name. */
  public void onReport(String model, PoolReport report) {
    pools.put(model, PoolState.of(model, report, clock.getAsLong()));
  }

  /** Plans and orders if this replica leads and a plan is due. */
  public void tick() {
    long now = clock.getAsLong();
    if (now - plannedAt < PLAN_MILLIS) {
      return;
    }
    plannedAt = now;
    Optional<ReplicaStatus> leading = replica.get().filter(ReplicaStatus::leaseValid);
    if (leading.isEmpty()) {
      ledTerm = 0;
      return;
    }
    if (leading.get().term() != ledTerm) {
      ledTerm = leading.get().term();
      leadsSince = now;
    }
    pools.values().removeIf(pool -> now - pool.receivedAtMillis() > REPORT_VALID_MILLIS);
    orderedAt.values().removeIf(at -> now - at > COOL_DOWN_MILLIS);
    modelOrderedAt.values().removeIf(at -> now - at > LOAD_MILLIS);
    if (now - leadsSince > REPORT_VALID_MILLIS) {
      Map<String, Integer> targets = firstTokenTargets.get();
      PlacementPlanner.plan(pools.values(), targets, modelOrderedAt.keySet(), this::mayMove)
          .ifPresent(this::propose);
    }
  }

  private boolean mayMove(MovableUpstream upstream) {
    boolean oldOrdersGone =
        clock.getAsLong() - leadsSince > oldLeaseMillis + HttpOrderClient.TIMEOUT.toMillis();
    return !orderedAt.containsKey(upstream.id()) && (upstream.checksFencing() || oldOrdersGone);
  }

  private void propose(Move move) {
    orderedAt.put(move.upstream().id(), clock.getAsLong());
    modelOrderedAt.put(move.model(), clock.getAsLong());
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
    long term = ledTerm;
    log.apply(ProposeRequest.newBuilder().setCommand(command).build())
        .thenAccept(reply -> committed(move, order, term, reply));
  }

  private void committed(Move move, PlacementOrder order, long term, ProposeReply reply) {
    boolean accepted =
        reply.getStatus() == ProposeReply.Status.DONE
            && reply.getResult().getStatus() == CommandStatus.ACCEPTED;
    if (!accepted) {
      LOG.info("order to {} not made: {}", order.getUpstream(), reply.getResult().getMessage());
      return;
    }
    long fencing = reply.getResult().getIndex();
    boolean stillLeads =
        replica.get().filter(status -> status.leaseValid() && status.term() == term).isPresent();
    if (!stillLeads) {
      DecisionLog.ordered(order, fencing, "not-sent-lease-lost");
      return;
    }
    DecisionLog.ordered(order, fencing, "sent");
    orders
        .send(move.upstream().address(), order, fencing)
        .whenComplete(
            (answer, failure) ->
                DecisionLog.ordered(
                    order, fencing, failure == null ? answer.name() : "unanswered"));
  }
}
