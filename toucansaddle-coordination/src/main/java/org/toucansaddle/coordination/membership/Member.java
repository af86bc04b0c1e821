package org.toucansaddle.coordination.membership;

import java.util.Objects;

/**
 * What is known of one daemon. Immutable.
 *
 * @param name name of the daemon, unique in the fleet
 * @param incarnation number that rises with each start and each refuted suspicion
 * @param state whether it is believed to be alive
 * @param address host and port for messages between daemons
 * @param zone availability zone
 * @param control whether it is a control replica
 */
public record Member(
    String name, long incarnation, State state, String address, String zone, boolean control) {

  /** Whether a daemon is believed to be alive. */
  public enum State {
    /** Answers probes. */
    ALIVE,
    /** Did not answer a probe; dead unless it refutes. */
    SUSPECT,
    /** Did not refute the suspicion in time. */
    DEAD,
    /** Said that it left. */
    LEFT
  }

  /** Validates the parts. */
  public Member {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(state, "state");
  }

  /** Returns this member in another state. */
  public Member withState(State newState) {
    return new Member(name, incarnation, newState, address, zone, control);
  }

  /** Returns this member with another incarnation, alive. */
  public Member withIncarnation(long newIncarnation) {
    return new Member(name, newIncarnation, State.ALIVE, address, zone, control);
  }

  /** Returns whether the daemon may still answer. */
  public boolean isLive() {
    return state == State.ALIVE || state == State.SUSPECT;
  }

  /** Returns whether this knowledge replaces {@code other} of the same daemon. */
  public boolean supersedes(Member other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    return state.ordinal() > other.state.ordinal();
  }
}
