package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A request that is not sent, to ask where it would go. Immutable.
 *
 * @param host host name, with or without a port
 * @param path path without a query
 * @param account name of the client account; empty if not given
 * @param promptTokens tokens of the prompt; 0 if it has none
 * @param outputTokens maximum tokens of the response
 * @param sharedParts parts of the prompt that other requests share, in order
 */
public record ExplainedRequest(
    String method,
    String host,
    String path,
    Optional<String> account,
    int promptTokens,
    int outputTokens,
    List<SharedPart> sharedParts) {

  /**
   * Part of the prompt that other requests share. Immutable.
   *
   * @param id id of its content
   * @param tokens its length in tokens
   */
  public record SharedPart(String id, int tokens) {}

  /** Copies the parts. */
  public ExplainedRequest {
    sharedParts = List.copyOf(sharedParts);
  }

  /** Returns the tokens of the parts that other requests share. */
  public long sharedTokens() {
    return sharedParts.stream().mapToLong(SharedPart::tokens).sum();
  }

  RequestHead head() {
    List<RequestHead.PromptPart> parts = new ArrayList<>();
    sharedParts.forEach(part -> parts.add(new RequestHead.PromptPart(part.id(), part.tokens())));
    if (promptTokens > 0) {
      parts.add(new RequestHead.PromptPart("", Math.toIntExact(promptTokens - sharedTokens())));
    }
    return new RequestHead(
        "",
        method,
        HeaderCodec.hostOf(host),
        path,
        "",
        0,
        "",
        promptTokens,
        outputTokens,
        0,
        "",
        "",
        parts);
  }
}
