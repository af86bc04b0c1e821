package org.toucansaddle.coordination.replication;

import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The replicas of a log: voters decide, learners only receive entries.
 *
 * <p>Immutable. Two sets that follow each other in the log differ by at most one voter, so that any
 * two quorums of neighbouring sets share a replica.
 *
 * @param voters replicas that count towards a quorum
 * @param learners replicas that receive entries and do not vote
 */
public record ReplicaSet(SortedSet<ReplicaId> voters, SortedSet<ReplicaId> learners) {

  /** Copies both sets. */
  public ReplicaSet {
    voters = new TreeSet<>(voters);
    learners = new TreeSet<>(learners);
  }

  /** Returns a set with no member. */
  public static ReplicaSet empty() {
    return new ReplicaSet(new TreeSet<>(), new TreeSet<>());
  }

  /** Returns a set of voters only. */
  public static ReplicaSet ofVoters(Iterable<ReplicaId> voters) {
    SortedSet<ReplicaId> all = new TreeSet<>();
    voters.forEach(all::add);
    return new ReplicaSet(all, new TreeSet<>());
  }

  /** Returns whether the replicas that pass {@code test} are a majority of the voters. */
  public boolean isQuorum(Predicate<ReplicaId> test) {
    long count = voters.stream().filter(test).count();
    return !voters.isEmpty() && count > voters.size() / 2;
  }

  /** Returns whether the replica is a voter or a learner. */
  public boolean contains(ReplicaId id) {
    return voters.contains(id) || learners.contains(id);
  }

  /** Returns the voter with this name, if there is one. */
  public Optional<ReplicaId> findVoterByName(String name) {
    return voters.stream().filter(id -> id.name().equals(name)).findFirst();
  }

  /** Returns this set with one more learner. */
  public ReplicaSet withLearner(ReplicaId id) {
    SortedSet<ReplicaId> more = new TreeSet<>(learners);
    more.removeIf(old -> old.name().equals(id.name()));
    more.add(id);
    return new ReplicaSet(voters, more);
  }

  /** Returns this set with the learner made a voter. */
  public ReplicaSet withVoter(ReplicaId id) {
    SortedSet<ReplicaId> more = new TreeSet<>(voters);
    more.add(id);
    SortedSet<ReplicaId> fewer = new TreeSet<>(learners);
    fewer.remove(id);
    return new ReplicaSet(more, fewer);
  }

  /** Returns this set without the replica. */
  public ReplicaSet without(ReplicaId id) {
    SortedSet<ReplicaId> fewerVoters = new TreeSet<>(voters);
    fewerVoters.remove(id);
    SortedSet<ReplicaId> fewerLearners = new TreeSet<>(learners);
    fewerLearners.remove(id);
    return new ReplicaSet(fewerVoters, fewerLearners);
  }
}
