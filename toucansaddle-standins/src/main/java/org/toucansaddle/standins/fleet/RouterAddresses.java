package org.toucansaddle.standins.fleet;

/**
 * Addresses of one daemon. Immutable.
 *
 * @param name name of the daemon
 * @param callers address for callers
 * @param admin address for operators
 * @param peers address for other daemons
 */
public record RouterAddresses(
    String name, String callerAddress, String adminAddress, String peerAddress) {}
