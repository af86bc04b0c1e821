package org.toucansaddle.daemon.internal.control;

import java.util.Optional;
import java.util.function.Function;
import org.toucansaddle.coordination.replication.RaftMessage;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.ReplicaTransport;
import org.toucansaddle.daemon.internal.peer.PeerClients;
import org.toucansaddle.daemon.internal.peer.PeerIdentity;
import org.toucansaddle.protocol.generated.PeerMessage;
import org.toucansaddle.protocol.generated.ReplicationMessage;

/**
 * Sends and receives messages of the replicated log over the connections between daemons.
 *
 * <p>A message addressed to another data folder than this replica's is dropped, because that folder
 * no longer exists. Thread-safe; messages are dropped until the replica is set.
 */
public final class PeerReplicaTransport implements ReplicaTransport {

  private final Function<String, Optional<String>> addressResolver;
  private final PeerClients clients;
  private volatile ControlReplica replica;

  /**
   * Creates a transport without a replica.
   *
   * @param addressResolver returns a replica's address by its name, if known
   */
  public PeerReplicaTransport(
      Function<String, Optional<String>> addressResolver, PeerClients clients) {
    this.addressResolver = addressResolver;
    this.clients = clients;
  }

  /** Sets the replica that receives incoming messages and whose messages are sent. */
  public void setReplica(ControlReplica newReplica) {
    replica = newReplica;
  }

  @Override
  public void send(ReplicaId to, RaftMessage message) {
    ControlReplica from = replica;
    if (from == null) {
      return;
    }
    ReplicationMessage encoded = ReplicationMessageCodec.encode(from.self(), to, message);
    addressResolver
        .apply(to.name())
        .ifPresent(
            address ->
                clients.send(address, PeerMessage.newBuilder().setReplication(encoded).build()));
  }

  /** Delivers a message of another daemon's replica. */
  public void receive(PeerIdentity from, ReplicationMessage message) {
    ControlReplica to = replica;
    if (to == null || message.getToFolder() != to.self().folderId()) {
      return;
    }
    ReplicaId sender = new ReplicaId(from.name(), message.getFromFolder());
    ReplicationMessageCodec.decode(message).ifPresent(decoded -> to.receive(sender, decoded));
  }
}
