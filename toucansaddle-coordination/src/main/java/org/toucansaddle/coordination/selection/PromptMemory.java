package org.toucansaddle.coordination.selection;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.toucansaddle.coordination.placement.PlacementRequest.PromptPart;

/**
 * The shared prefixes of prompts that one start of an upstream is expected to keep, least recently
 * used first.
 *
 * <p>Confined to its owner's lock.
 */
public final class PromptMemory {

  private static final float LOAD_FACTOR = 0.75f;
  private static final int INITIAL_CAPACITY = 16;

  private final Map<String, Use> uses = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
  private final int maxPrefixes;
  private long totalTokens;

  /** The last use of a prefix. Immutable. */
  private record Use(int tokens, long atNanos) {}

  /**
   * Creates an empty memory.
   *
   * @param maxPrefixes prefixes up to which more than those of the last prompt are remembered
   */
  public PromptMemory(int maxPrefixes) {
    this.maxPrefixes = maxPrefixes;
  }

  /** Returns the tokens of the leading prefixes that are kept. */
  public int keptTokens(List<PromptPart> prefixes) {
    return keptTokens(prefixes, 0, Long.MAX_VALUE);
  }

  /** Returns the tokens of the leading prefixes that are kept and were used not too long ago. */
  public int keptTokens(List<PromptPart> prefixes, long nowNanos, long maxAgeNanos) {
    int kept = 0;
    for (PromptPart prefix : prefixes) {
      Use use = uses.get(prefix.id());
      if (use == null || nowNanos - use.atNanos() > maxAgeNanos) {
        break;
      }
      kept += prefix.tokens();
    }
    return kept;
  }

  /** Records that the upstream uses prefixes; those used least recently yield if need be. */
  public void use(List<PromptPart> prefixes, long capacityTokens) {
    use(prefixes, capacityTokens, 0);
  }

  /** Records that the upstream used prefixes at a time; see {@link #use(List, long)}. */
  public void use(List<PromptPart> prefixes, long capacityTokens, long nowNanos) {
    for (PromptPart prefix : prefixes) {
      Use previous = uses.put(prefix.id(), new Use(prefix.tokens(), nowNanos));
      totalTokens += prefix.tokens() - (previous == null ? 0 : previous.tokens());
    }
    Iterator<Use> eldest = uses.values().iterator();
    while (uses.size() > prefixes.size()
        && (totalTokens > capacityTokens || uses.size() > maxPrefixes)) {
      totalTokens -= eldest.next().tokens();
      eldest.remove();
    }
  }
}
