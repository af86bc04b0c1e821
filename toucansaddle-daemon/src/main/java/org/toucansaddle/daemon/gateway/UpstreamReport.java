package org.toucansaddle.daemon.gateway;

import java.util.OptionalInt;

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
 * @param softwareVersion version of the software that it runs, fixed for one start; empty if not
 *     reported. Upstreams of one service may run different versions, and only an upstream of the
 *     version that began a stream may resume it
 * @param warmUpMillis time for which it stays cold, in milliseconds; 0 if it is warm, empty if not
 *     reported
 */
public record UpstreamReport(
    String id,
    String service,
    String address,
    String zone,
    int slots,
    State state,
    long startedAtMillis,
    long sequence,
    String softwareVersion,
    OptionalInt warmUpMillis) {

  /** Whether an upstream accepts requests. */
  public enum State {
    /** Accepts requests. */
    READY,
    /** Completes its running requests and accepts no new ones. */
    DRAINING,
    /** Has deregistered; this state is final for its start. */
    GONE
  }

  /** Creates a report without a warm-up. */
  public UpstreamReport(
      String id,
      String service,
      String address,
      String zone,
      int slots,
      State state,
      long startedAtMillis,
      long sequence,
      String softwareVersion) {
    this(
        id,
        service,
        address,
        zone,
        slots,
        state,
        startedAtMillis,
        sequence,
        softwareVersion,
        OptionalInt.empty());
  }

  /** Creates a report without a version of the software and without a warm-up. */
  public UpstreamReport(
      String id,
      String service,
      String address,
      String zone,
      int slots,
      State state,
      long startedAtMillis,
      long sequence) {
    this(id, service, address, zone, slots, state, startedAtMillis, sequence, "");
  }

  /** Returns a copy of this report with another state. */
  public UpstreamReport withState(State other) {
    return copy(other, softwareVersion, warmUpMillis);
  }

  /** Returns a copy of this report with another version of the software. */
  public UpstreamReport withSoftwareVersion(String other) {
    return copy(state, other, warmUpMillis);
  }

  /** Returns a copy of this report with another warm-up. */
  public UpstreamReport withWarmUpMillis(int other) {
    return copy(state, softwareVersion, OptionalInt.of(other));
  }

  private UpstreamReport copy(State newState, String newVersion, OptionalInt newWarmUpMillis) {
    return new UpstreamReport(
        id,
        service,
        address,
        zone,
        slots,
        newState,
        startedAtMillis,
        sequence,
        newVersion,
        newWarmUpMillis);
  }

  /**
   * Returns this report, with the version of another report of the same start if it has none.
   *
   * <p>Daemons that do not know versions forward reports without them.
   */
  public UpstreamReport completedBy(UpstreamReport other) {
    boolean isCompletable =
        softwareVersion.isEmpty()
            && !other.softwareVersion.isEmpty()
            && startedAtMillis == other.startedAtMillis;
    return isCompletable ? withSoftwareVersion(other.softwareVersion) : this;
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
