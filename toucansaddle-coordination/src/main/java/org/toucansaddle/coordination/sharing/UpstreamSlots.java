package org.toucansaddle.coordination.sharing;

/**
 * Announcement of an upstream and its slots. Immutable.
 *
 * @param id name of the upstream, unique in its pool
 * @param incarnation number that increases with each start of the upstream
 * @param address host and port
 * @param zone availability zone
 * @param slots requests it runs concurrently
 * @param leaving whether it accepts no new requests
 */
public record UpstreamSlots(
    String id, long incarnation, String address, String zone, int slots, boolean leaving) {}
