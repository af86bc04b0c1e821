package org.toucansaddle.coordination.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * A request that asks for a slot. Immutable.
 *
 * @param router router that asks
 * @param id number of the request, unique for its router
 * @param zone availability zone of the router
 * @param account client account; empty if the request has none
 * @param promptTokens tokens of the prompt
 * @param outputTokens tokens that the response is expected to have
 * @param sharedParts parts of the prompt, in order, that other requests may share
 * @param targetMillis target for the time to the first token, in milliseconds
 * @param remainingMillis time until the deadline, in milliseconds
 * @param returned whether the caller comes back after a refusal
 * @param excluded ids of upstreams that the router does not use
 */
public record PlacementRequest(
    String router,
    long id,
    String zone,
    String account,
    int promptTokens,
    int outputTokens,
    List<PromptPart> sharedParts,
    int targetMillis,
    long remainingMillis,
    boolean returned,
    Set<String> excluded) {

  /** A token that is made takes an upstream about as long as two that are read. */
  private static final int WORK_PER_OUTPUT_TOKEN = 2;

  /** Copies the collections. */
  public PlacementRequest {
    sharedParts = List.copyOf(sharedParts);
    excluded = Set.copyOf(excluded);
  }

  /**
   * Part of a prompt. Immutable.
   *
   * @param id id of its content
   * @param tokens its length in tokens
   */
  public record PromptPart(String id, int tokens) {}

  /** Returns the tokens that the request counts in the share of its account. */
  public long shareTokens() {
    return workTokens(promptTokens);
  }

  /** Returns the work of an upstream, in tokens read, if it reads this part of the prompt. */
  public long workTokens(int readTokens) {
    return readTokens + (long) WORK_PER_OUTPUT_TOKEN * outputTokens;
  }

  /** Returns the tokens of the parts that other requests may share. */
  public int sharedTokens() {
    return sharedParts.stream().mapToInt(PromptPart::tokens).sum();
  }

  /** Returns the prefixes that end with each shared part, shortest first; a part's tokens each. */
  public List<PromptPart> sharedPrefixes() {
    List<PromptPart> prefixes = new ArrayList<>();
    StringBuilder path = new StringBuilder();
    for (PromptPart part : sharedParts) {
      path.append(part.id()).append('/');
      prefixes.add(new PromptPart(path.toString(), part.tokens()));
    }
    return prefixes;
  }
}
