package org.toucansaddle.daemon.gateway;

import java.util.List;
import org.toucansaddle.coordination.zones.AllowedRegions;

/**
 * Routing rule for the requests of one host and path prefix. Immutable.
 *
 * @param name name of the route
 * @param host host name that requests must have, in lower case
 * @param pathPrefix prefix that request paths must have; begins and ends with a slash
 * @param repetition how often a request may be executed
 * @param timeoutMillis time limit for the complete response, in milliseconds
 * @param targetMillis target for the time to the first byte, in milliseconds
 * @param gapTargetMillis target for the time between two events of a stream, in milliseconds; 0 for
 *     none
 * @param priority priority of the route; 0 is the highest
 * @param services services that execute the requests, with their weights
 * @param maxAttempts maximum number of upstreams that one request may be sent to
 * @param open whether requests are accepted without a key
 * @param resumable whether an interrupted stream may be resumed at another upstream; false unless
 *     the route is one of streams, whatever a document says
 * @param regions regions in which the requests may be served
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    Repetition repetition,
    int timeoutMillis,
    int targetMillis,
    int gapTargetMillis,
    int priority,
    List<WeightedService> services,
    int maxAttempts,
    boolean open,
    boolean resumable,
    AllowedRegions regions) {

  /** Lower bound of the stall timeout, whatever the targets. */
  private static final int MIN_STALL_TIMEOUT_MILLIS = 2_000;

  private static final int STALL_TIMEOUT_PER_TARGET = 4;
  private static final int STALL_TIMEOUT_PER_GAP_TARGET = 8;

  /** Creates a route whose requests may be served in all regions. */
  public Route(
      String name,
      String host,
      String pathPrefix,
      Repetition repetition,
      int timeoutMillis,
      int targetMillis,
      int gapTargetMillis,
      int priority,
      List<WeightedService> services,
      int maxAttempts,
      boolean open,
      boolean resumable) {
    this(
        name,
        host,
        pathPrefix,
        repetition,
        timeoutMillis,
        targetMillis,
        gapTargetMillis,
        priority,
        services,
        maxAttempts,
        open,
        resumable,
        AllowedRegions.any());
  }

  /** Copies the services; only streams can be resumed. */
  public Route {
    services = List.copyOf(services);
    resumable = resumable && repetition == Repetition.STREAM;
  }

  /** Returns a copy whose requests may be served in other regions. */
  public Route withRegions(AllowedRegions other) {
    return new Route(
        name,
        host,
        pathPrefix,
        repetition,
        timeoutMillis,
        targetMillis,
        gapTargetMillis,
        priority,
        services,
        maxAttempts,
        open,
        resumable,
        other);
  }

  /** Returns whether a request may be sent again although it may have been executed already. */
  public boolean isRepeatable() {
    return repetition == Repetition.REPEATABLE || resumable;
  }

  /** Returns whether responses are event streams. */
  public boolean isStream() {
    return repetition == Repetition.STREAM;
  }

  /**
   * Returns the time without data after which callers of a stream disconnect, in milliseconds: the
   * maximum of a fixed minimum and of multiples of the two targets.
   */
  public int callerStallTimeoutMillis() {
    long targets = (long) STALL_TIMEOUT_PER_TARGET * targetMillis;
    long gaps = (long) STALL_TIMEOUT_PER_GAP_TARGET * gapTargetMillis;
    long stallTimeout = Math.max(MIN_STALL_TIMEOUT_MILLIS, Math.max(targets, gaps));
    return (int) Math.min(Integer.MAX_VALUE, stallTimeout);
  }
}
