package org.toucansaddle.standins.load;

/**
 * A request as its caller saw it. Immutable; times in milliseconds since the epoch.
 *
 * @param account name of the account
 * @param promptHash hash of the prompt, by which a stand-in's journal names it
 * @param tokens length of the answer asked for
 * @param sentAt when it was sent
 * @param endedAt when its answer ended, or {@link Long#MAX_VALUE} if it has not
 * @param result what became of it, or null if it has not ended
 */
public record RequestRecord(
    String account,
    long promptHash,
    int requestedTokens,
    long sentAtMillis,
    long endedAtMillis,
    Caller.Result result) {}
