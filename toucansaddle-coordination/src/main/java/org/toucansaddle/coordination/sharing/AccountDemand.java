package org.toucansaddle.coordination.sharing;

/**
 * Requests of one account at one router. Immutable.
 *
 * @param waiting requests waiting for a slot
 * @param inFlight requests that hold a slot
 */
public record AccountDemand(int waiting, int inFlight) {

  /** Demand without any request. */
  public static final AccountDemand NONE = new AccountDemand(0, 0);

  /** Returns how many slots the account could use at the router. */
  public int total() {
    return waiting + inFlight;
  }
}
