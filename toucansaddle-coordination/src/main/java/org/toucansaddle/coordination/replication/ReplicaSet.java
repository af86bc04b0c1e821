package org.toucansaddle.coordination.replication;

import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The replicas of a log: voters form quorums, learners only receive entries.
 *
 * <p>Immutable. Consecutive sets in the log differ by at most one voter, so that any quorum of one
 * set overlaps every quorum of the next.
 *
 * @param voters replicas that count towards a quorum
 * @param learners replicas that receive entries and do not vote
 */
public record ReplicaSet(SortedSet<ReplicaId> voters, SortedSet<ReplicaId> learners) {

  /** Copies both sets defensively. */
  public ReplicaSet {
    voters = new TreeSet<>(voters);
    learners = new TreeSet<>(learners);
  }

  /** Returns a set without members. */
  public static ReplicaSet empty() {
    return new ReplicaSet(new TreeSet<>(), new TreeSet<>());
  }

  /** Returns a set of the given voters and no learners. */
  public static ReplicaSet ofVoters(Iterable<ReplicaId> voters) {
    SortedSet<ReplicaId> voterSet = new TreeSet<>();
    voters.forEach(voterSet::add);
    return new ReplicaSet(voterSet, new TreeSet<>());
  }

  /** Returns whether a majority of the voters satisfies {@code test}. */
  public boolean isQuorum(Predicate<ReplicaId> test) {
    long count = voters.stream().filter(test).count();
    return !voters.isEmpty() && count > voters.size() / 2;
  }

  /** Returns whether the replica is a voter or a learner. */
  public boolean contains(ReplicaId id) {
    return voters.contains(id) || learners.contains(id);
  }

  /** Returns the voter with the given name, if any. */
  public Optional<ReplicaId> findVoterByName(String name) {
    return voters.stream().filter(id -> id.name().equals(name)).findFirst();
  }

  /** Returns this set with the learner added; it replaces a learner of the same name. */
  public ReplicaSet withLearner(ReplicaId id) {
    SortedSet<ReplicaId> newLearners = new TreeSet<>(learners);
    newLearners.removeIf(learner -> learner.name().equals(id.name()));
    newLearners.add(id);
    return new ReplicaSet(voters, newLearners);
  }

  /** Returns this set with the replica as a voter and no longer a learner. */
  public ReplicaSet withVoter(ReplicaId id) {
    SortedSet<ReplicaId> newVoters = new TreeSet<>(voters);
    newVoters.add(id);
    SortedSet<ReplicaId> newLearners = new TreeSet<>(learners);
    newLearners.remove(id);
    return new ReplicaSet(newVoters, newLearners);
  }

  /** Returns this set without the replica. */
  public ReplicaSet without(ReplicaId id) {
    SortedSet<ReplicaId> newVoters = new TreeSet<>(voters);
    newVoters.remove(id);
    SortedSet<ReplicaId> newLearners = new TreeSet<>(learners);
    newLearners.remove(id);
    return new ReplicaSet(newVoters, newLearners);
  }
}
