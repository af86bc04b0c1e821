package org.toucansaddle.coordination.sharing;

/**
 * What an upstream announced of itself. Immutable.
 *
 * @param id name of the upstream, unique in its pool
 * @param incarnation number that rises with each start of the upstream
 * @param address host and port
 * @param zone availability zone
 * @param slots requests it runs at a time
 * @param leaving whether it asks for no new work
 */
public record UpstreamSlots(
    String id, long incarnation, String address, String zone, int slots, boolean leaving) {}
