package org.toucansaddle.daemon.internal.placement;

import java.util.List;
import java.util.Set;
import org.toucansaddle.protocol.generated.PoolReport;

/**
 * Latest state of a pool, as reported by its dispatcher. Immutable.
 *
 * @param model name of the model that the pool serves
 * @param slots total slots of its upstreams
 * @param inFlight number of running requests
 * @param upstreams number of upstreams
 * @param backloggedMillis time for which the queue has been non-empty without a break, in
 *     milliseconds
 * @param movable a subset of its upstreams that can load another model
 * @param receivedAtMillis when the report was received, in monotonic milliseconds
 */
record PoolState(
    String model,
    int slots,
    int inFlight,
    int upstreams,
    long backloggedMillis,
    List<MovableUpstream> movable,
    long receivedAtMillis) {

  /** Copies {@code movable}. */
  PoolState {
    movable = List.copyOf(movable);
  }

  /** Creates a state from a report that was received at {@code nowMillis}. */
  static PoolState of(String model, PoolReport report, long nowMillis) {
    List<MovableUpstream> movable =
        report.getMovableList().stream()
            .map(
                upstream ->
                    new MovableUpstream(
                        upstream.getId(),
                        upstream.getIncarnation(),
                        upstream.getAddress(),
                        upstream.getSlots(),
                        upstream.getChecksFencing(),
                        Set.copyOf(upstream.getLoadableList())))
            .toList();
    return new PoolState(
        model,
        report.getSlots(),
        report.getInFlight(),
        report.getUpstreams(),
        report.getBackloggedMillis(),
        movable,
        nowMillis);
  }
}
