package org.toucansaddle.coordination.placement;

/**
 * An upstream of a pool. Immutable.
 *
 * @param id its id
 * @param incarnation name of its current start; it holds and knows nothing of earlier ones
 * @param zone its availability zone
 * @param slots requests that it runs at the same time
 */
public record PoolUpstream(String id, String incarnation, String zone, int slots) {}
