package org.toucansaddle.coordination.internal.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.toucansaddle.coordination.placement.PlacementRequest.PromptPart;

/**
 * The shared prefixes of prompts that one upstream is expected to keep, least recently used first.
 *
 * <p>Confined to its placer's lock.
 */
final class PromptMemory {

  private static final float LOAD_FACTOR = 0.75f;
  private static final int INITIAL_CAPACITY = 64;

  private final Map<String, Integer> tokensByPrefix =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
  private long totalTokens;

  /** Returns the tokens of the leading prefixes that are kept. */
  int keptTokens(List<PromptPart> prefixes) {
    int kept = 0;
    for (PromptPart prefix : prefixes) {
      if (!tokensByPrefix.containsKey(prefix.id())) {
        break;
      }
      kept += prefix.tokens();
    }
    return kept;
  }

  /** Records that the upstream uses prefixes; those used least recently yield if need be. */
  void use(List<PromptPart> prefixes, long capacityTokens) {
    for (PromptPart prefix : prefixes) {
      Integer previous = tokensByPrefix.put(prefix.id(), prefix.tokens());
      totalTokens += prefix.tokens() - (previous == null ? 0 : previous);
    }
    Iterator<Integer> eldest = tokensByPrefix.values().iterator();
    while (totalTokens > capacityTokens && tokensByPrefix.size() > prefixes.size()) {
      totalTokens -= eldest.next();
      eldest.remove();
    }
  }
}
