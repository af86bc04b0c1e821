package org.toucansaddle.standins.experiment;

/**
 * Bound on the service gap between two backlogged accounts, as docs/FAIRNESS.md derives it.
 *
 * <p>Stateless and thread-safe.
 */
final class GapBound {

  private static final double MAX_WEIGHT = 4;
  private static final double LEDGER_DELAY_SECONDS = 1.5;

  private GapBound() {}

  /** Returns the bound for the sharing scenario, in tokens. */
  static double maxGapTokens() {
    double slots = SharingScenario.ENGINES * SharingScenario.SLOTS;
    double slotsOfOne = Math.ceil(MAX_WEIGHT * slots / SharingScenario.ACCOUNTS);
    double tokensPerSecond = slots * 1_000.0 / SharingScenario.STEP_MILLIS;
    return SharingScenario.MAX_TOKENS * slotsOfOne + tokensPerSecond * LEDGER_DELAY_SECONDS;
  }
}
