package org.toucansaddle.daemon.internal.peer;

/**
 * Identity that a daemon presents to other daemons. Immutable.
 *
 * @param name name, unique in the fleet
 * @param address host and port of its peer server
 * @param incarnation number that increases with each start
 */
public record PeerIdentity(String name, String address, long incarnation) {}
