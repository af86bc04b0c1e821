package org.toucansaddle.coordination.replication;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * State of one replica at one moment. Immutable.
 *
 * @param self the replica
 * @param role what it does in its term
 * @param term its term
 * @param leader leader of the term, if known
 * @param lastIndex index of its last entry
 * @param commitIndex highest committed index it knows of
 * @param appliedIndex highest index its state machine has applied
 * @param members replica set it uses
 * @param membersCommitted whether that set is committed
 * @param matchIndexes on the leader, the highest index known to be on each other replica's disk
 * @param responsive on the leader, the other replicas that answered one of its last heartbeats
 * @param leaseValid on the leader, whether no other leader can have been elected yet
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

  /** What a replica does in its term. */
  public enum Role {
    /** Receives entries and does not vote. */
    LEARNER,
    /** Receives entries and votes. */
    FOLLOWER,
    /** Asks whether it would be elected. */
    PRE_CANDIDATE,
    /** Asks for votes. */
    CANDIDATE,
    /** Proposes entries. */
    LEADER
  }
}
