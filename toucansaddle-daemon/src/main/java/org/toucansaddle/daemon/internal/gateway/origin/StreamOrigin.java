package org.toucansaddle.daemon.internal.gateway.origin;

/**
 * Where a stream began. Immutable.
 *
 * @param service service of the upstream that the request was sent to
 * @param softwareVersion version of the upstream's software, empty if unknown
 */
public record StreamOrigin(String service, String softwareVersion) {}
