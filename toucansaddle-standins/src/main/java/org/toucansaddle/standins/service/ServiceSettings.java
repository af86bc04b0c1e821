package org.toucansaddle.standins.service;

/**
 * Settings of a stand-in service. Immutable.
 *
 * @param id name, unique in its pool
 * @param port port it listens on, on loopback
 * @param pool name of the service
 * @param slots calls it runs at a time
 * @param delayMillis time a call takes, in milliseconds
 * @param zone availability zone
 */
public record ServiceSettings(
    String id, int port, String pool, int slots, int delayMillis, String zone) {}
