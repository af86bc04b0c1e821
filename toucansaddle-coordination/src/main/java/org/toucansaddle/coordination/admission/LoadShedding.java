package org.toucansaddle.coordination.admission;

import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * Decides which requests a router that is behind leaves to other routers.
 *
 * <p>A caller that is refused at once is served by another router within its target; here it would
 * wait for this one. The part that is refused grows with the lag, and is taken from the accounts
 * with most requests here first. Nothing is refused while many of the other routers are behind, and
 * no caller that has come back after a refusal is refused again. Thread-safe; does no I/O.
 */
public final class LoadShedding {

  /** Largest part of the requests that is refused; the lag is known only as it was. */
  private static final double MAX_PART = 0.8;

  /** Fraction of the other routers that may be behind. */
  private static final double MAX_OTHERS_BEHIND = 0.5;

  private final AccountParts parts;
  private final DoubleSupplier random;

  /**
   * Creates an object without requests.
   *
   * @param clock returns nanoseconds
   * @param random returns numbers from 0 to 1
   */
  public LoadShedding(LongSupplier clock, DoubleSupplier random) {
    this.parts = new AccountParts(clock);
    this.random = random;
  }

  /**
   * The other routers that callers of this one may go to. Immutable.
   *
   * @param routers number of routers
   * @param behind those of them that are behind
   */
  public record Others(int routers, int behind) {

    /** Returns whether a caller that is refused here is likely to be served by another one. */
    public boolean haveRoom() {
      return routers > 0 && behind <= MAX_OTHERS_BEHIND * routers;
    }
  }

  /**
   * Records a request and returns whether it is to be refused.
   *
   * @param account client account; empty if the request has none
   * @param returned whether its caller was refused before
   */
  public boolean refuses(String account, boolean returned, ReadLag lag, Others others) {
    parts.record(account);
    if (returned || !lag.isBehind() || !others.haveRoom()) {
      return false;
    }
    double refused = Math.min(MAX_PART, lag.millis() / lag.limitMillis() - 1);
    return random.getAsDouble() >= parts.partOf(account, 1 - refused);
  }
}
