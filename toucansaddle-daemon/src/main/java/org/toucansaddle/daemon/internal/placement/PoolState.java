package org.toucansaddle.daemon.internal.placement;

import java.util.List;
import java.util.Set;
import org.toucansaddle.protocol.generated.PoolReport;

/**
 * What a pool's dispatcher last told of its pool. Immutable.
 *
 * @param model name of the model that the pool serves
 * @param slots slots of all its upstreams
 * @param inFlight requests that run
 * @param upstreams number of upstreams
 * @param backloggedMillis for how long requests have waited without a break, in milliseconds
 * @param movable some of its upstreams that can load another model
 * @param heardAt monotonic milliseconds
 */
record PoolState(
    String model,
    int slots,
    int inFlight,
    int upstreams,
    long backloggedMillis,
    List<MovableUpstream> movable,
    long receivedAtMillis) {

  /** Copies the list. */
  PoolState {
    movable = List.copyOf(movable);
  }

  /** Returns the state in a report. */
  static PoolState of(String model, PoolReport report, long now) {
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
        now);
  }
}
