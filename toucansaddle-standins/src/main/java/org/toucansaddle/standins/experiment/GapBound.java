package org.toucansaddle.standins.experiment;

/**
 * Upper bound on the service gap between two backlogged accounts; docs/FAIRNESS.md derives it.
 *
 * <p>Stateless and thread-safe.
 */
final class GapBound {

  private static final double MAX_WEIGHT = 4;
  private static final double USAGE_PROPAGATION_SECONDS = 1.5;

  private GapBound() {}

  /** Returns the bound for {@link SharingScenario}, in tokens. */
  static double maxGapTokens() {
    double slots = SharingScenario.ENGINES * SharingScenario.SLOTS;
    double maxSlotsPerAccount = Math.ceil(MAX_WEIGHT * slots / SharingScenario.ACCOUNTS);
    double tokensPerSecond = slots * 1_000.0 / SharingScenario.STEP_MILLIS;
    return SharingScenario.MAX_TOKENS * maxSlotsPerAccount
        + tokensPerSecond * USAGE_PROPAGATION_SECONDS;
  }
}
