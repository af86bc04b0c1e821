package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.List;
import org.toucansaddle.daemon.gateway.Route;

/**
 * What the head of a request says. Immutable.
 *
 * @param requestId identity of the request; empty if the caller gave none
 * @param host host name in lower case, without a port
 * @param path path as it was sent, without the query
 * @param deadlineMillis time the caller waits, in milliseconds; 0 if it did not say
 * @param credential the caller's key; empty if there is none
 * @param promptTokens tokens of the prompt; 0 if it has none
 * @param maxOutputTokens most tokens of the answer; 0 if it is not generated
 * @param lengthHint output tokens that the caller expects; 0 if it did not say
 * @param parts parts of the prompt in order
 */
public record RequestHead(
    String requestId,
    String host,
    String path,
    int deadlineMillis,
    String credential,
    int promptTokens,
    int maxOutputTokens,
    int lengthHint,
    List<PromptPart> parts) {

  /** Part of a route's timeout; a caller that allows less has used up the rest before. */
  private static final double RETRY_DEADLINE_FRACTION = 0.97;

  /**
   * Part of a prompt that other requests may share. Immutable.
   *
   * @param id identity of its content
   * @param tokens its length in tokens
   */
  public record PromptPart(String id, int tokens) {}

  /** Copies the parts. */
  public RequestHead {
    parts = List.copyOf(parts);
  }

  /** Returns the time left at the start, for a route, in milliseconds. */
  public int timeoutMillis(Route route) {
    return deadlineMillis > 0
        ? Math.min(deadlineMillis, route.timeoutMillis())
        : route.timeoutMillis();
  }

  /** Returns what the request counts for in its account's share: tokens made count twice. */
  public long totalWorkTokens() {
    return workTokens(promptTokens);
  }

  /** Returns what an engine has to do that reads some of the prompt: tokens made count twice. */
  public long workTokens(int read) {
    return read + 2L * expectedOutputTokens();
  }

  /** Returns the output tokens to reckon with. */
  public int expectedOutputTokens() {
    return lengthHint > 0 ? Math.min(lengthHint, maxOutputTokens) : maxOutputTokens;
  }

  /** Returns whether the caller has waited before, most likely after a refusal. */
  public boolean isLikelyRetry(Route route) {
    return deadlineMillis > 0 && deadlineMillis < RETRY_DEADLINE_FRACTION * route.timeoutMillis();
  }

  /** Returns the tokens of all parts but the last, which other requests may share. */
  public int sharedPrefixTokens() {
    int tokens = 0;
    for (int i = 0; i < parts.size() - 1; i++) {
      tokens += parts.get(i).tokens();
    }
    return tokens;
  }

  /** Returns a name of the longest shared part of the prompt; empty if there is none. */
  public String sharedPrefixKey() {
    if (parts.size() < 2) {
      return "";
    }
    StringBuilder name = new StringBuilder();
    for (int i = 0; i < parts.size() - 1; i++) {
      name.append(parts.get(i).id()).append('/');
    }
    return name.toString();
  }
}
