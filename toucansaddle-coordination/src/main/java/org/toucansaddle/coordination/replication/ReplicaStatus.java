package org.toucansaddle.coordination.replication;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Point-in-time state of one replica. Immutable.
 *
 * @param self the replica
 * @param role Raft role in the current term
 * @param term current term
 * @param leader leader of the current term, if known
 * @param lastIndex index of the last log entry
 * @param commitIndex highest index the replica knows to be committed
 * @param appliedIndex highest index applied to the state machine
 * @param members replica set in effect
 * @param membersCommitted whether that set is committed
 * @param matchIndexes on the leader, the highest index known to be durable on each other replica;
 *     otherwise empty
 * @param responsive on the leader, the other replicas that answered a recent heartbeat; otherwise
 *     empty
 * @param leaseValid whether this replica holds the leader lease, so that no other leader can have
 *     been elected yet
 */
public record ReplicaStatus(
    ReplicaId self,
    Role role,
    long term,
    Optional<ReplicaId> leader,
    long lastIndex,
    long commitIndex,
    long appliedIndex,
    ReplicaSet members,
    boolean membersCommitted,
    Map<ReplicaId, Long> matchIndexes,
    Set<ReplicaId> responsive,
    boolean leaseValid) {

  /** Raft role of a replica. */
  public enum Role {
    /** Receives entries and does not vote. */
    LEARNER,
    /** Receives entries and votes. */
    FOLLOWER,
    /** Requests pre-votes to learn whether it could win an election. */
    PRE_CANDIDATE,
    /** Requests votes. */
    CANDIDATE,
    /** Appends entries and replicates them to the other replicas. */
    LEADER
  }
}
