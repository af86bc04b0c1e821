package org.toucansaddle.coordination.internal.placement;

import java.util.List;
import org.toucansaddle.coordination.placement.PlacementRequest;
import org.toucansaddle.coordination.placement.PlacementRequest.PromptPart;

/** A slot granted to a request. Confined to its placer's lock. */
final class Grant {

  private final long number;
  private final PlacementRequest request;
  private final PlacedUpstream upstream;
  private final List<PromptPart> prefixes;
  private final int readTokens;
  private final long pendingTokens;
  private final long askedAt;
  private final long grantedAt;
  private boolean started;

  /**
   * Creates a grant.
   *
   * @param readTokens prompt tokens that the upstream is expected to read
   * @param pendingTokens tokens that it reads until the first token of the response
   * @param askedAt time of the ask, in nanoseconds
   * @param grantedAt time of the grant, in nanoseconds
   */
  Grant(
      long number,
      PlacementRequest request,
      PlacedUpstream upstream,
      List<PromptPart> prefixes,
      int readTokens,
      long pendingTokens,
      long askedAt,
      long grantedAt) {
    this.number = number;
    this.request = request;
    this.upstream = upstream;
    this.prefixes = prefixes;
    this.readTokens = readTokens;
    this.pendingTokens = pendingTokens;
    this.askedAt = askedAt;
    this.grantedAt = grantedAt;
  }

  long number() {
    return number;
  }

  PlacementRequest request() {
    return request;
  }

  PlacedUpstream upstream() {
    return upstream;
  }

  List<PromptPart> prefixes() {
    return prefixes;
  }

  int readTokens() {
    return readTokens;
  }

  long pendingTokens() {
    return pendingTokens;
  }

  long askedAt() {
    return askedAt;
  }

  long grantedAt() {
    return grantedAt;
  }

  boolean isStarted() {
    return started;
  }

  /** Marks the prompt as read; returns whether it was not before. */
  boolean markStarted() {
    boolean first = !started;
    started = true;
    return first;
  }
}
