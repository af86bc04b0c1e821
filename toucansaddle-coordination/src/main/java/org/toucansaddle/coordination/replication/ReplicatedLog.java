package org.toucansaddle.coordination.replication;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * One replica of a replicated log.
 *
 * <pre>{@code
 * ReplicatedLog log =
 *     Coordination.replicatedLog(
 *         settings, self, storage, stateMachine, transport, clockMillis, random);
 * log.receive(peer, message);   // for each message from a peer
 * log.tick();                   // every few milliseconds
 * log.flush();                  // after each batch of calls
 * log.propose(command).thenAccept(result -> ...);
 * }</pre>
 *
 * <p>Not thread-safe: all calls must come from one thread; futures complete on that thread. Nothing
 * is sent or acknowledged before {@link #flush} has synced the state it depends on. Once a
 * proposal's future completes normally, its entry is durable on a quorum and is never lost or
 * reordered.
 */
public interface ReplicatedLog {

  /** Initializes an empty log with these voters; does nothing if the storage is not empty. */
  void bootstrap(ReplicaSet voters);

  /** Handles a message from another replica. */
  void receive(ReplicaId from, RaftMessage message);

  /** Checks the timers of elections, heartbeats and the leader's quorum check. */
  void tick();

  /** Syncs the storage, then completes the futures and sends the messages that depend on it. */
  void flush();

  /**
   * Proposes a command.
   *
   * @return completes with the result of applying the command, or exceptionally with a {@link
   *     ReplicationException}
   */
  CompletableFuture<byte[]> propose(byte[] command);

  /**
   * Proposes a replica set that differs from the current one by at most one voter. It is rejected
   * unless this replica leads and the current set is committed.
   *
   * @return completes when the set is committed, or exceptionally with a {@link
   *     ReplicationException}
   */
  CompletableFuture<byte[]> proposeMembers(ReplicaSet members);

  /**
   * Confirms with a quorum that this replica is still the leader, for a linearizable read.
   *
   * @return completes with the commit index at the time of the call, once the state machine has
   *     applied it, or exceptionally with a {@link ReplicationException}
   */
  CompletableFuture<Long> confirmRead();

  /** Returns the current state of this replica. */
  ReplicaStatus status();

  /** Returns the leader of the current term, if known. */
  Optional<ReplicaId> leader();
}
