package org.toucansaddle.daemon.gateway;

/**
 * Names of the header fields that callers, routers and upstreams exchange about a request.
 *
 * <p>Immutable.
 *
 * @param requestId id of the request; upstreams repeat it in the response
 * @param deadline time left until the caller's timeout, in milliseconds
 * @param credential key of the caller; never forwarded
 * @param account client account; sent to upstreams
 * @param expectedUpstream id of the intended upstream; any other one responds with 421
 * @param upstream id of the responding upstream
 * @param seal proof that the response originates from the upstream
 * @param notExecuted present if the upstream did not execute the request
 * @param load running requests, waiting requests and slots of the upstream, comma-separated
 * @param tokens prompt tokens and maximum output tokens, comma-separated
 * @param prefix parts of the prompt in order, as a list of id:tokens
 * @param lengthHint expected number of output tokens
 * @param resumes id of the request that brought the first event of the stream that a request takes
 *     up again after {@code Last-Event-Id}; the same one each time a stream is taken up
 * @param requestLimit requests a second that the upstream takes from all routers together, as a
 *     decimal number; absent if it has no limit
 * @param leaving "1" if the upstream leaves
 * @param reservedFields further fields that are removed from callers' requests, comma-separated
 */
public record HeaderNames(
    String requestId,
    String deadline,
    String credential,
    String account,
    String expectedUpstream,
    String upstream,
    String seal,
    String notExecuted,
    String load,
    String tokens,
    String prefix,
    String lengthHint,
    String resumes,
    String requestLimit,
    String leaving,
    String reservedFields) {

  /** Returns the native field names. */
  public static HeaderNames defaults() {
    return new HeaderNames(
        "X-Request-Id",
        "X-Deadline-Ms",
        "X-Api-Key",
        "X-Client-Account",
        "X-Expect-Upstream",
        "X-Upstream-Id",
        "X-Answer-Seal",
        "X-Not-Run",
        "X-Upstream-Load",
        "X-Tokens",
        "X-Prompt-Parts",
        "X-Length-Hint",
        "X-Resumes",
        "X-Rate-Limit",
        "X-Leaving",
        "");
  }
}
