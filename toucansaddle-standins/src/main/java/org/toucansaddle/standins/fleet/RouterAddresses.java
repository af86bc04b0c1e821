package org.toucansaddle.standins.fleet;

/**
 * Listening addresses of a router, as {@code host:port}. Immutable.
 *
 * @param name name of the router
 * @param callerAddress address for requests of client accounts
 * @param adminAddress address for operators
 * @param peerAddress address for other routers
 */
public record RouterAddresses(
    String name, String callerAddress, String adminAddress, String peerAddress) {}
