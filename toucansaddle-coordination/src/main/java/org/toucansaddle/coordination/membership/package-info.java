/**
 * Fleet membership by randomized probing with suspicion and incarnations (SWIM).
 *
 * <p>Each member probes one other member per period, regardless of fleet size; membership updates
 * are piggybacked on the probes.
 */
package org.toucansaddle.coordination.membership;
