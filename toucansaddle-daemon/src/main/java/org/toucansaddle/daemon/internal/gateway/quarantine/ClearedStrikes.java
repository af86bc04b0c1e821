package org.toucansaddle.daemon.internal.gateway.quarantine;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Strikes of one digest that a success has cleared. A daemon that has not received the success may
 * still report them. Not thread-safe.
 */
final class ClearedStrikes {

  /** Strikes kept; those that were cleared first give way. */
  private static final int CAPACITY = 32;

  private final Set<String> upstreams = new LinkedHashSet<>();
  private Optional<Long> successAt = Optional.empty();
  private long change;

  /**
   * Adds strikes that a success cleared.
   *
   * @param cleared the crashed incarnations
   * @param now time of the success, in nanoseconds
   */
  void add(Set<String> cleared, long now) {
    upstreams.addAll(cleared);
    while (upstreams.size() > CAPACITY) {
      upstreams.remove(upstreams.iterator().next());
    }
    successAt = Optional.of(now);
  }

  /** Returns whether a strike is one of those that were cleared, or older than the success. */
  boolean contains(String upstream, long struckAt) {
    return upstreams.contains(upstream) || successAt.filter(at -> struckAt - at < 0).isPresent();
  }

  /** Returns the number of the change from which the success is to be sent; 0 if never. */
  long change() {
    return change;
  }

  void setChange(long newChange) {
    change = newChange;
  }
}
