package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.List;
import org.toucansaddle.daemon.gateway.Route;

/**
 * Parsed head of a request. Immutable.
 *
 * @param requestId id of the request; empty if the caller sent none
 * @param method method as received
 * @param host host name in lower case, without a port
 * @param path path as received, without the query
 * @param query query as received, without the question mark before it; empty if there is none
 * @param deadlineMillis time until the deadline of the caller, in milliseconds; 0 if not given
 * @param credential the caller's key; empty if there is none
 * @param promptTokens tokens of the prompt; 0 if it has none
 * @param maxOutputTokens maximum tokens of the response; 0 if it is not generated
 * @param lengthHint output tokens that the caller expects; 0 if not given
 * @param resumes id of the request that brought the first event of the stream that this request
 *     takes up; empty if not given
 * @param lastEventId id of the last event that the caller has of the stream; empty if not given
 * @param parts parts of the prompt in order
 */
public record RequestHead(
    String requestId,
    String method,
    String host,
    String path,
    String query,
    int deadlineMillis,
    String credential,
    int promptTokens,
    int maxOutputTokens,
    int lengthHint,
    String resumes,
    String lastEventId,
    List<PromptPart> parts) {

  /** Fraction of a route's timeout; a caller with a shorter deadline has used the rest before. */
  private static final double RETRY_DEADLINE_FRACTION = 0.97;

  /**
   * Part of a prompt that other requests may share. Immutable.
   *
   * @param id id of its content
   * @param tokens its length in tokens
   */
  public record PromptPart(String id, int tokens) {}

  /** Creates a head with a copy of the parts. */
  public RequestHead {
    parts = List.copyOf(parts);
  }

  /** Returns path and query, as they are sent to upstreams. */
  public String target() {
    return query.isEmpty() ? path : path + "?" + query;
  }

  /** Returns the smaller of the caller's deadline and the route's timeout, in milliseconds. */
  public int timeoutMillis(Route route) {
    return deadlineMillis > 0
        ? Math.min(deadlineMillis, route.timeoutMillis())
        : route.timeoutMillis();
  }

  /** Returns the request's cost in its account's share, in tokens; output tokens count twice. */
  public long totalWorkTokens() {
    return workTokens(promptTokens);
  }

  /** Returns the work of an engine for a given prefill, in tokens; output tokens count twice. */
  public long workTokens(int prefillTokens) {
    return prefillTokens + 2L * expectedOutputTokens();
  }

  /** Returns the expected number of output tokens. */
  public int expectedOutputTokens() {
    return lengthHint > 0 ? Math.min(lengthHint, maxOutputTokens) : maxOutputTokens;
  }

  /** Returns whether the caller has used part of its time before, most likely by a refusal. */
  public boolean isLikelyRetry(Route route) {
    return deadlineMillis > 0 && deadlineMillis < RETRY_DEADLINE_FRACTION * route.timeoutMillis();
  }

  /** Returns all parts but the last, which other requests may share. */
  public List<PromptPart> sharedParts() {
    return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
  }

  /** Returns the tokens of the parts that other requests may share. */
  public int sharedPrefixTokens() {
    return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
  }

  /** Returns a key of the longest shareable prefix of the prompt; empty if there is none. */
  public String sharedPrefixKey() {
    StringBuilder name = new StringBuilder();
    for (PromptPart part : sharedParts()) {
      name.append(part.id()).append('/');
    }
    return name.toString();
  }
}
