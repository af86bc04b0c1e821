package org.toucansaddle.coordination.pacing;

/**
 * A cold upstream that a router has requests for. Immutable.
 *
 * @param service service of the upstream
 * @param upstream id of the upstream
 * @param startedAtMillis its start, in milliseconds since 1970; 0 if unknown
 * @param requests requests for which it was passed over
 */
public record ColdAsk(String service, String upstream, long startedAtMillis, int requests) {}
