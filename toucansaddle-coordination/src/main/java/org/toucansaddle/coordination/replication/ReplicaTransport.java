package org.toucansaddle.coordination.replication;

/**
 * Sends messages to other replicas; may lose, delay, reorder or repeat them.
 *
 * <p>Must not block and must not throw for an unreachable peer.
 */
@FunctionalInterface
public interface ReplicaTransport {

  /** Hands a message over for delivery to {@code to}. */
  void send(ReplicaId to, RaftMessage message);
}
