package org.toucansaddle.coordination.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.placement.PlacementRequest.PromptPart;

/** Tests of {@link ReadPrompts}. */
public class ReadPromptsTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Any start of the clock; such times may be negative. */
  private static final long START = -SECOND;

  private static final List<PromptPart> CHAT =
      List.of(new PromptPart("rules/", 1_000), new PromptPart("rules/chat/", 4_000));
  private static final List<PromptPart> OTHER =
      List.of(new PromptPart("rules/", 1_000), new PromptPart("rules/other/", 3_000));

  private final ReadPrompts read = new ReadPrompts();

  private static int kept(
      ReadPrompts prompts, List<PromptPart> prefixes, long freeTokens, long at) {
    return prompts.keptTokens(prefixes, freeTokens, 50, at);
  }

  @Test
  public void shouldCountLeadingPrefixesOnly() {
    ReadPrompts prompts = new ReadPrompts();
    prompts.recordRead(CHAT, START);
    assertThat(kept(prompts, CHAT, 100_000, START)).isEqualTo(5_000);
    assertThat(kept(prompts, OTHER, 100_000, START)).isEqualTo(1_000);
    assertThat(kept(prompts, CHAT.subList(1, 2), 100_000, START)).isEqualTo(4_000);
  }

  /** Guards against prefixes counted as kept that have had to yield to others since. */
  @Test
  public void shouldForgetWhenTheFreeMemoryMayHaveBeenReadFull() {
    read.recordRead(CHAT, START);
    assertThat(kept(read, CHAT, 100_000, START + 2 * SECOND)).isEqualTo(5_000);
    assertThat(kept(read, CHAT, 100_000, START + 2 * SECOND + 1)).isZero();
    assertThat(kept(read, CHAT, 40_000, START + SECOND)).isZero();
  }

  @Test
  public void shouldCountNothingWithoutFreeMemory() {
    read.recordRead(CHAT, START);
    assertThat(kept(read, CHAT, 0, START + 1)).isZero();
    assertThat(kept(read, CHAT, -5, START + 1)).isZero();
  }

  @Test
  public void shouldStayBounded() {
    ReadPrompts prompts = new ReadPrompts();
    for (int i = 0; i < 1_000; i++) {
      prompts.recordRead(List.of(new PromptPart("p" + i, 1)), START);
    }
    int kept = 0;
    for (int i = 0; i < 1_000; i++) {
      kept += kept(prompts, List.of(new PromptPart("p" + i, 1)), 100_000, START);
    }
    assertThat(kept).isEqualTo(64);
  }
}
