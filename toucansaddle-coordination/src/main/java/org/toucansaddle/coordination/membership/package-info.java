/**
 * Membership of daemons by sampled probes with suspicion and incarnations (SWIM).
 *
 * <p>Each member probes one other member a period, whatever the size of the fleet; changes travel
 * with the probes.
 */
package org.toucansaddle.coordination.membership;
