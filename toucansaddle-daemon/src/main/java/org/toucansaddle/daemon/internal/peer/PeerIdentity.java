package org.toucansaddle.daemon.internal.peer;

/**
 * Who a daemon is towards other daemons. Immutable.
 *
 * @param name name unique in the fleet
 * @param address host and port where it takes messages
 * @param incarnation number that rises with each start
 */
public record PeerIdentity(String name, String address, long incarnation) {}
