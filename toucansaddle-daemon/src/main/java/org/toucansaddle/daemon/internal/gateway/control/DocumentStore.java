package org.toucansaddle.daemon.internal.gateway.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.toucansaddle.coordination.replication.ReplicatedLog;
import org.toucansaddle.coordination.zones.ZoneOrder;
import org.toucansaddle.coordination.zones.ZoneOrders;
import org.toucansaddle.daemon.gateway.StoredDocument;
import org.toucansaddle.daemon.internal.control.ControlReplica;
import org.toucansaddle.daemon.internal.control.LeaderRetryLoop;
import org.toucansaddle.daemon.internal.control.LeaderRetryLoop.Reply;
import org.toucansaddle.daemon.internal.gateway.control.DocumentStateMachine.Outcome;
import org.toucansaddle.daemon.internal.peer.PeerClients;
import org.toucansaddle.protocol.GatewayMethods;
import org.toucansaddle.protocol.generated.ChangeZoneReply;
import org.toucansaddle.protocol.generated.ChangeZoneRequest;
import org.toucansaddle.protocol.generated.ProposeReply;
import org.toucansaddle.protocol.generated.PutDocumentReply;
import org.toucansaddle.protocol.generated.PutDocumentRequest;
import org.toucansaddle.protocol.generated.ReadDocumentReply;
import org.toucansaddle.protocol.generated.ReadDocumentRequest;

/**
 * Stores and reads the configuration document, and the orders of zones, through the leader of the
 * control replicas.
 *
 * <p>A write is acknowledged only after a quorum stored the document on disk. A read completes only
 * after a quorum confirmed that the leader has not been replaced. Thread-safe.
 */
public final class DocumentStore {

  /** Limit for one attempt, so that a leader with a lost VM does not consume the whole timeout. */
  private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(700);

  private static final LeaderRetryLoop.RetryDelay PAUSE = new LeaderRetryLoop.RetryDelay(20, 120);

  private final String selfAddress;
  private final Optional<ControlReplica> replica;
  private final Supplier<FleetState> applied;
  private final PeerClients clients;
  private final LeaderRetryLoop loop;

  /**
   * Creates a store.
   *
   * @param selfAddress peer address of this daemon
   * @param replica replica of this daemon; empty on routers
   * @param applied state that the replica applied last; called only with a replica
   * @param addresses peer addresses of the control daemons
   */
  public DocumentStore(
      String selfAddress,
      Optional<ControlReplica> replica,
      Supplier<FleetState> applied,
      PeerClients clients,
      Supplier<List<String>> addresses,
      ScheduledExecutorService timers) {
    this.selfAddress = selfAddress;
    this.replica = replica;
    this.applied = applied;
    this.clients = clients;
    this.loop = new LeaderRetryLoop(addresses, address -> true, PAUSE, timers);
  }

  /** Stores a document; empty if no quorum acknowledged it within the timeout. */
  public CompletableFuture<Optional<Outcome>> put(StoredDocument document, Duration timeout) {
    PutDocumentRequest request =
        PutDocumentRequest.newBuilder().setDocument(DocumentCodec.encode(document)).build();
    return loop.call(
        address ->
            sendPut(address, request)
                .thenApply(
                    reply ->
                        new Reply<>(
                            reply.getStatus(),
                            reply.getLeader(),
                            new Outcome(reply.getAccepted(), reply.getCurrentVersion()))),
        timeout);
  }

  /** Reads the latest document; empty if no quorum confirmed it within the timeout. */
  public CompletableFuture<Optional<StoredDocument>> read(Duration timeout) {
    return readState(timeout, ATTEMPT_TIMEOUT).thenApply(state -> state.map(FleetState::document));
  }

  /** Reads the zones out of service; empty if no quorum confirmed them within the timeout. */
  public CompletableFuture<Optional<ZoneOrders>> readZones(Duration timeout) {
    return readState(timeout, ATTEMPT_TIMEOUT).thenApply(state -> state.map(FleetState::zones));
  }

  /**
   * Reads the latest document and the zones out of service; empty if no quorum confirmed them
   * within the timeout.
   *
   * @param attemptTimeout time after which another control daemon is asked
   */
  public CompletableFuture<Optional<FleetState>> readState(
      Duration timeout, Duration attemptTimeout) {
    return loop.call(
        address ->
            sendRead(address, attemptTimeout)
                .thenApply(
                    reply ->
                        new Reply<>(
                            reply.getStatus(),
                            reply.getLeader(),
                            new FleetState(
                                DocumentCodec.decode(reply.getDocument()),
                                ZoneOrdersCodec.decode(reply.getZones())))),
        timeout);
  }

  /** Carries out an order; empty if no quorum acknowledged it within the timeout. */
  public CompletableFuture<Optional<ZoneOrders>> order(ZoneOrder order, Duration timeout) {
    ChangeZoneRequest request =
        ChangeZoneRequest.newBuilder()
            .setZone(order.zone())
            .setOutOfService(order.outOfService())
            .build();
    return loop.call(
        address ->
            sendOrder(address, request)
                .thenApply(
                    reply ->
                        new Reply<>(
                            reply.getStatus(),
                            reply.getLeader(),
                            ZoneOrdersCodec.decode(reply.getZones()))),
        timeout);
  }

  private CompletableFuture<ChangeZoneReply> sendOrder(String address, ChangeZoneRequest request) {
    if (address.equals(selfAddress)) {
      return orderLocally(request);
    }
    return clients.call(address, GatewayMethods.CHANGE_ZONE, request, ATTEMPT_TIMEOUT);
  }

  /** Carries out an order if this daemon is the leader; otherwise the reply names the leader. */
  public CompletableFuture<ChangeZoneReply> orderLocally(ChangeZoneRequest request) {
    ZoneOrder order = new ZoneOrder(request.getZone(), request.getOutOfService());
    byte[] command = FleetStateMachine.command(order);
    return ReplicaCalls.call(replica, log -> log.propose(command))
        .thenApply(DocumentStore::toZoneReply)
        .exceptionally(
            failure ->
                ChangeZoneReply.newBuilder()
                    .setStatus(ReplicaCalls.statusOf(failure))
                    .setLeader(ReplicaCalls.leaderOf(failure))
                    .build());
  }

  private static ChangeZoneReply toZoneReply(byte[] result) {
    try {
      return ChangeZoneReply.newBuilder()
          .setStatus(ProposeReply.Status.DONE)
          .setZones(org.toucansaddle.protocol.generated.ZoneOrders.parseFrom(result))
          .build();
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("The result of a zone order is corrupt.", e);
    }
  }

  private CompletableFuture<PutDocumentReply> sendPut(String address, PutDocumentRequest request) {
    if (address.equals(selfAddress)) {
      return putLocally(request);
    }
    return clients.call(address, GatewayMethods.PUT_DOCUMENT, request, ATTEMPT_TIMEOUT);
  }

  private CompletableFuture<ReadDocumentReply> sendRead(String address, Duration attemptTimeout) {
    if (address.equals(selfAddress)) {
      return readLocally();
    }
    ReadDocumentRequest request = ReadDocumentRequest.getDefaultInstance();
    return clients.call(address, GatewayMethods.READ_DOCUMENT, request, attemptTimeout);
  }

  /** Stores a document if this daemon is the leader; otherwise the reply names the leader. */
  public CompletableFuture<PutDocumentReply> putLocally(PutDocumentRequest request) {
    byte[] command = DocumentStateMachine.command(DocumentCodec.decode(request.getDocument()));
    return ReplicaCalls.call(replica, log -> log.propose(command))
        .thenApply(DocumentStore::toReply)
        .exceptionally(
            failure ->
                PutDocumentReply.newBuilder()
                    .setStatus(ReplicaCalls.statusOf(failure))
                    .setLeader(ReplicaCalls.leaderOf(failure))
                    .build());
  }

  private static PutDocumentReply toReply(byte[] result) {
    Outcome outcome = Outcome.decode(result);
    return PutDocumentReply.newBuilder()
        .setStatus(ProposeReply.Status.DONE)
        .setAccepted(outcome.accepted())
        .setCurrentVersion(outcome.currentVersion())
        .build();
  }

  /**
   * Reads the latest document if this daemon is the leader; otherwise the reply names the leader.
   */
  public CompletableFuture<ReadDocumentReply> readLocally() {
    return ReplicaCalls.call(replica, ReplicatedLog::confirmRead)
        .thenApply(
            index ->
                ReadDocumentReply.newBuilder()
                    .setStatus(ProposeReply.Status.DONE)
                    .setDocument(DocumentCodec.encode(applied.get().document()))
                    .setZones(ZoneOrdersCodec.encode(applied.get().zones()))
                    .build())
        .exceptionally(
            failure ->
                ReadDocumentReply.newBuilder()
                    .setStatus(ReplicaCalls.statusOf(failure))
                    .setLeader(ReplicaCalls.leaderOf(failure))
                    .build());
  }
}
