package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Tokens that accounts were admitted with while their share was larger than it is now.
 *
 * <p>An account may use what nobody else asks for. When others begin to ask, the share becomes
 * smaller, and what the account had until then must not count as use above the share: it would be
 * refused altogether until that is forgotten, while the others start without any use. This holds
 * for use that has lasted: what an account gets in the first moments of a burst, until all routers
 * know of it, is more than it may have. The amounts decay like the use itself, and accounts without
 * use are dropped. Not thread-safe.
 */
final class FormerShares {

  private final double decayNanos;
  private final Map<String, Double> tokens = new HashMap<>();
  private long updatedAt;

  /**
   * Recent use of an account. Immutable.
   *
   * @param admittedTokens tokens that it was admitted with
   * @param lastingPart part of them that counts as use that has lasted, from 0 to 1
   */
  record Use(double admittedTokens, double lastingPart) {}

  /** Creates an object without accounts; amounts decay to 1/e in the given time. */
  FormerShares(double decayNanos) {
    this.decayNanos = decayNanos;
  }

  /** Returns a copy that changes independently. */
  FormerShares copy() {
    FormerShares copy = new FormerShares(decayNanos);
    copy.tokens.putAll(tokens);
    copy.updatedAt = updatedAt;
    return copy;
  }

  private double kept(long now) {
    return Math.exp(-(now - updatedAt) / decayNanos);
  }

  /** Returns the tokens that do not count against the share of an account. */
  double of(String account, long now) {
    return tokens.getOrDefault(account, 0.0) * kept(now);
  }

  /**
   * Applies a new share of all accounts.
   *
   * @param uses recent use of each account, whatever its share was
   */
  void update(double oldShare, double newShare, Map<String, Use> uses, long now) {
    double kept = kept(now);
    updatedAt = now;
    tokens.keySet().retainAll(uses.keySet());
    tokens.replaceAll((account, amount) -> amount * kept);
    if (newShare >= oldShare) {
      double rise = newShare - oldShare;
      tokens.values().removeIf(amount -> amount <= rise);
      tokens.replaceAll((account, amount) -> amount - rise);
      return;
    }
    uses.forEach(
        (account, use) -> {
          double counted = use.admittedTokens() - tokens.getOrDefault(account, 0.0);
          double aboveNewShare = Math.min(counted, oldShare) - newShare;
          if (aboveNewShare > 0) {
            tokens.merge(account, use.lastingPart() * aboveNewShare, Double::sum);
          }
        });
  }
}
