package org.toucansaddle.coordination.pacing;

/**
 * Permission to send requests to a cold upstream. Immutable.
 *
 * @param upstream id of the upstream
 * @param startedAtMillis its start, in milliseconds since 1970; 0 if unknown
 * @param requests number of requests
 * @param validMillis time in which they may be sent, from the sending of the report that asked
 * @param report number of that report
 */
public record ColdPermit(
    String upstream, long startedAtMillis, int requests, int validMillis, long report) {}
