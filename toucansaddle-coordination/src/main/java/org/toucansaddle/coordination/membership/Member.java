package org.toucansaddle.coordination.membership;

import java.util.Objects;

/**
 * State of one daemon as seen by the membership protocol. Immutable.
 *
 * @param name name of the daemon, unique in the fleet
 * @param incarnation number that increases with each start and each refuted suspicion
 * @param state liveness of the daemon
 * @param address host and port for messages between daemons
 * @param zone availability zone
 * @param control whether the daemon is a control replica
 */
public record Member(
    String name, long incarnation, State state, String address, String zone, boolean control) {

  /** Liveness of a daemon. */
  public enum State {
    /** Answers probes. */
    ALIVE,
    /** Did not answer a probe; declared dead unless it refutes the suspicion in time. */
    SUSPECT,
    /** Did not refute the suspicion in time. */
    DEAD,
    /** Announced that it left the fleet. */
    LEFT
  }

  /** Validates that the name and the state are not null. */
  public Member {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(state, "state");
  }

  /** Returns this member with the given state. */
  public Member withState(State newState) {
    return new Member(name, incarnation, newState, address, zone, control);
  }

  /** Returns this member as alive with the given incarnation. */
  public Member withIncarnation(long newIncarnation) {
    return new Member(name, newIncarnation, State.ALIVE, address, zone, control);
  }

  /** Returns whether the daemon is alive or only suspected. */
  public boolean isLive() {
    return state == State.ALIVE || state == State.SUSPECT;
  }

  /** Returns whether this state overrides {@code other}, a state of the same daemon. */
  public boolean supersedes(Member other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    return state.ordinal() > other.state.ordinal();
  }
}
