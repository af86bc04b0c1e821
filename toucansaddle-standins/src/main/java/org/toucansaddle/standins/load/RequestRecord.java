package org.toucansaddle.standins.load;

/**
 * A request as observed by its caller. Immutable; times are in milliseconds since the epoch.
 *
 * @param account name of the account
 * @param promptHash hash of the prompt, which identifies the request in the journal of a stand-in
 * @param requestedTokens requested length of the response, in tokens
 * @param sentAtMillis time of sending
 * @param endedAtMillis time of completion, or {@link Long#MAX_VALUE} while in flight
 * @param result result, or null while in flight
 */
public record RequestRecord(
    String account,
    long promptHash,
    int requestedTokens,
    long sentAtMillis,
    long endedAtMillis,
    Caller.Result result) {}
