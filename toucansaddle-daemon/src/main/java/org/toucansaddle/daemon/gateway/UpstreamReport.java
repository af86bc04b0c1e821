package org.toucansaddle.daemon.gateway;

/**
 * Status report that an upstream sends about itself. Immutable.
 *
 * @param id unique id of the upstream
 * @param service name of the service that it provides
 * @param address host and port where it accepts requests
 * @param zone availability zone
 * @param slots maximum number of requests that it processes concurrently
 * @param state whether it accepts requests
 * @param startedAtMillis start time in milliseconds since the epoch; 0 if not reported. A later
 *     start under the same id is a new process without the state of the previous one
 * @param sequence sequence number of the report, increasing within one start
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

  /** Whether an upstream accepts requests. */
  public enum State {
    /** Accepts requests. */
    READY,
    /** Completes its running requests and accepts no new ones. */
    DRAINING,
    /** Has deregistered; this state is final for its start. */
    GONE
  }

  /** Returns a copy of this report with another state. */
  public UpstreamReport withState(State other) {
    return new UpstreamReport(id, service, address, zone, slots, other, startedAtMillis, sequence);
  }

  /**
   * Returns whether this report replaces another one of the same id.
   *
   * <p>A later start always wins. Within one start {@link State#GONE} wins, because a
   * deregistration has no sequence number of its own; otherwise the higher sequence number wins.
   */
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
