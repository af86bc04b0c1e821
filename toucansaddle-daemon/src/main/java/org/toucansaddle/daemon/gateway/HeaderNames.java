package org.toucansaddle.daemon.gateway;

/**
 * Header fields by which callers, routers and upstreams tell each other about a request.
 *
 * <p>Immutable.
 *
 * @param requestId identity of one request; upstreams repeat it in the answer
 * @param deadline milliseconds left until the caller gives up
 * @param credential key of the caller; never passed on
 * @param account client account, told to upstreams
 * @param expectedUpstream identity of the upstream that is meant; another one answers 421
 * @param upstream identity of the upstream that answers
 * @param seal proof of the upstream that the answer is its own
 * @param notExecuted present if the upstream did not run the request
 * @param load requests running, waiting and slots of the upstream, separated by commas
 * @param tokens prompt tokens and most output tokens, separated by a comma
 * @param prefix parts of the prompt in order, as a list of id:tokens
 * @param lengthHint expected output tokens
 * @param systemOnly further fields that callers may not set, separated by commas
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
    String reservedFields) {

  /** Returns this product's own names. */
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
        "");
  }
}
