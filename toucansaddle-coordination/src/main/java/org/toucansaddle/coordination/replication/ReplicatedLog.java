package org.toucansaddle.coordination.replication;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * One replica of a replicated log.
 *
 * <pre>{@code
 * ReplicatedLog log = Coordination.replicatedLog(self, storage, machine, transport, clock, random);
 * log.receive(peer, message);   // for each message from a peer
 * log.tick();                   // every few milliseconds
 * log.flush();                  // after each batch of the calls above
 * log.propose(command).thenAccept(result -> ...);
 * }</pre>
 *
 * <p>Not thread-safe: one thread makes all calls; futures complete on that thread. Nothing is sent
 * or acknowledged before the state it depends on was synced by {@link #flush}. Once a proposal's
 * future completes normally, its entry is on the disks of a quorum and is never lost or reordered.
 */
public interface ReplicatedLog {

  /** Starts a log from nothing with these voters; ignored if the storage holds a log. */
  void bootstrap(ReplicaSet voters);

  /** Handles a message of another replica. */
  void receive(ReplicaId from, RaftMessage message);

  /** Advances timers: elections, heartbeats, the leader's quorum check. */
  void tick();

  /** Syncs the storage, then sends the messages and completes the futures that waited for it. */
  void flush();

  /**
   * Proposes a command.
   *
   * @return the result of applying it, or a {@link ReplicationException}
   */
  CompletableFuture<byte[]> propose(byte[] command);

  /**
   * Proposes a replica set that differs from the current one by one voter or in its learners.
   *
   * @return completes when the set is committed
   */
  CompletableFuture<byte[]> proposeMembers(ReplicaSet members);

  /**
   * Confirms with a quorum that this replica leads now.
   *
   * @return the commit index at the time of the call, once the state machine has applied it
   */
  CompletableFuture<Long> confirmRead();

  /** Returns a description of this replica's state. */
  ReplicaStatus status();

  /** Returns the leader of the current term, if known. */
  Optional<ReplicaId> leader();
}
