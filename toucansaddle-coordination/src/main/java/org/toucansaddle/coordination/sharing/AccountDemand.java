package org.toucansaddle.coordination.sharing;

/**
 * Requests of one account at one router. Immutable.
 *
 * @param waiting requests that wait for a slot
 * @param inFlight requests that run
 */
public record AccountDemand(int waiting, int inFlight) {

  /** No request. */
  public static final AccountDemand NONE = new AccountDemand(0, 0);

  /** Returns how many slots the account could use. */
  public int total() {
    return waiting + inFlight;
  }
}
