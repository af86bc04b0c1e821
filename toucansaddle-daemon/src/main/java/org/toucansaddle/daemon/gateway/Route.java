package org.toucansaddle.daemon.gateway;

import java.util.List;

/**
 * Where requests of one host and path prefix go, and what may be done with them. Immutable.
 *
 * @param name name of the route
 * @param host host name of the requests, in lower case
 * @param pathPrefix start of the path; begins and ends with a slash
 * @param repetition how often a request may run
 * @param timeoutMillis longest time until the final answer, in milliseconds
 * @param targetMillis time to the first byte that operators aim for, in milliseconds
 * @param gapTargetMillis longest pause between events that operators aim for, in milliseconds; 0
 *     for none
 * @param priority rank among the routes, 0 is the highest
 * @param services services that run the requests
 * @param maxAttempts most upstreams that one request may be sent to
 * @param open whether requests need no key
 * @param resumable whether a broken stream may go on at another upstream
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
    boolean resumable) {

  /** Callers of streams leave after the longest of these silences. */
  private static final int LEAST_PATIENCE_MILLIS = 2_000;

  private static final int TARGETS_OF_PATIENCE = 4;
  private static final int GAPS_OF_PATIENCE = 8;

  /** Copies the services. */
  public Route {
    services = List.copyOf(services);
  }

  /** Returns whether a request may run once more after it may have run. */
  public boolean isRepeatable() {
    return repetition == Repetition.REPEATABLE || resumable;
  }

  /** Returns whether answers are streams of events. */
  public boolean isStream() {
    return repetition == Repetition.STREAM;
  }

  /** Returns the silence of a stream after which its callers leave, in milliseconds. */
  public int callerStallTimeoutMillis() {
    long targets = (long) TARGETS_OF_PATIENCE * targetMillis;
    long gaps = (long) GAPS_OF_PATIENCE * gapTargetMillis;
    long patience = Math.max(LEAST_PATIENCE_MILLIS, Math.max(targets, gaps));
    return (int) Math.min(Integer.MAX_VALUE, patience);
  }
}
