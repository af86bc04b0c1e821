package org.toucansaddle.coordination.replication;

/**
 * Sends messages to other replicas; may lose, delay, reorder or duplicate them.
 *
 * <p>Implementations must not block and must not throw if a peer is unreachable.
 */
@FunctionalInterface
public interface ReplicaTransport {

  /** Sends a message to {@code to} asynchronously. */
  void send(ReplicaId to, RaftMessage message);
}
