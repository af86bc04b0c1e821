package org.toucansaddle.daemon.gateway;

/**
 * What an upstream says of itself. Immutable.
 *
 * @param id identity of the upstream
 * @param service service it runs
 * @param address host and port where it takes requests
 * @param zone availability zone
 * @param slots requests it works on at once
 * @param state whether it takes requests
 * @param startedAtMillis time of its start since 1970, in milliseconds; 0 if it did not say. A
 *     later start under the same id knows nothing of what was before
 * @param sequence number of the report, rising within one start
 */
public record UpstreamReport(
    String id,
    String service,
    String address,
    String zone,
    int slots,
    State state,
    long startedAtMillis,
    long sequence) {

  /** Whether an upstream takes requests. */
  public enum State {
    /** It takes requests. */
    READY,
    /** It finishes what it has and takes nothing new. */
    DRAINING,
    /** It has left. */
    GONE
  }

  /** Returns this report with another state. */
  public UpstreamReport withState(State other) {
    return new UpstreamReport(id, service, address, zone, slots, other, startedAtMillis, sequence);
  }

  /** Returns whether this report supersedes an earlier one of the same id. */
  public boolean supersedes(UpstreamReport other) {
    if (startedAtMillis != other.startedAtMillis) {
      return startedAtMillis > other.startedAtMillis;
    }
    if (other.state == State.GONE || state == State.GONE) {
      return other.state != State.GONE;
    }
    return sequence > other.sequence;
  }
}
