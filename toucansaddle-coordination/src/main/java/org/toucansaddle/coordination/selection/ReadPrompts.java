package org.toucansaddle.coordination.selection;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.coordination.placement.PlacementRequest.PromptPart;

/**
 * The shared prefixes that one start of an upstream has read for one router.
 *
 * <p>A router does not see what others send, so a prefix counts as kept only for the time in which
 * the upstream cannot have read so much else that it had to yield. Bounded. Thread-safe; does no
 * I/O.
 */
public final class ReadPrompts {

  private static final int MAX_PREFIXES = 64;

  private final PromptMemory memory = new PromptMemory(MAX_PREFIXES);

  /** Records that the upstream has read prefixes, or found that it keeps them. */
  public synchronized void recordRead(List<PromptPart> prefixes, long nowNanos) {
    memory.use(prefixes, Long.MAX_VALUE, nowNanos);
  }

  /**
   * Returns the tokens of the leading prefixes that the upstream still keeps.
   *
   * @param freeTokens tokens of its memory that running requests do not occupy
   * @param tokensPerMilli tokens that it reads in a millisecond
   */
  public synchronized int keptTokens(
      List<PromptPart> prefixes, long freeTokens, double tokensPerMilli, long nowNanos) {
    double keptMillis = Math.max(0, freeTokens) / tokensPerMilli;
    long keptNanos = Math.round(keptMillis * TimeUnit.MILLISECONDS.toNanos(1));
    return memory.keptTokens(prefixes, nowNanos, keptNanos);
  }
}
