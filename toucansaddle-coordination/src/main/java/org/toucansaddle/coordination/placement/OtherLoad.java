package org.toucansaddle.coordination.placement;

/**
 * Requests of a router at an upstream that were not granted by this place. Immutable.
 *
 * @param requests requests under way
 * @param pendingTokens prompt tokens that the upstream has not read yet
 * @param memoryTokens tokens that they occupy in the upstream's memory
 */
public record OtherLoad(int requests, long pendingTokens, long memoryTokens) {

  /** Returns the sum of two loads. */
  public OtherLoad plus(OtherLoad other) {
    return new OtherLoad(
        requests + other.requests,
        pendingTokens + other.pendingTokens,
        memoryTokens + other.memoryTokens);
  }
}
