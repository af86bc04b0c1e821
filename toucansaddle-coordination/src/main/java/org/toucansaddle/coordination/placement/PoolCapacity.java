package org.toucansaddle.coordination.placement;

/**
 * What the upstreams of a pool can do. Immutable.
 *
 * @param tokensPerSecond rated throughput of the pool, in tokens per second; 0 if not known
 * @param readTokensPerMilli nominal speed at which one upstream reads prompts, in tokens per
 *     millisecond; the real one is learned
 * @param memoryTokens tokens that one upstream holds in its memory; 0 if not known
 */
public record PoolCapacity(double tokensPerSecond, double readTokensPerMilli, long memoryTokens) {}
