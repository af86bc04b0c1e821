package org.toucansaddle.standins.service;

/**
 * Settings of a stand-in service. Immutable.
 *
 * @param id name, unique in its pool
 * @param port listening port on loopback
 * @param pool name of the service
 * @param slots number of calls that run concurrently, as announced; the service does not enforce it
 * @param delayMillis response delay of a call, in milliseconds
 * @param zone availability zone
 */
public record ServiceSettings(
    String id, int port, String pool, int slots, int delayMillis, String zone) {}
