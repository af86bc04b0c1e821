package org.toucansaddle.standins.engine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The completion of a prompt, which is a pure function of the prompt. Every stand-in engine
 * generates it, so that a client can check the text and any engine can resume it.
 *
 * <p>A prompt sets the length of its completion with {@code [tokens=N]}; without that marker the
 * length is derived from the prompt's hash. Stateless and thread-safe.
 */
public final class ExpectedCompletion {

  private static final Pattern TOKEN_COUNT = Pattern.compile("\\[tokens=([0-9]{1,6})]");
  private static final int MIN_TOKENS = 16;
  private static final int TOKEN_RANGE = 48;

  private ExpectedCompletion() {}

  /** Returns the number of tokens of the completion, at least 1. */
  public static int tokenCount(String prompt) {
    Matcher matcher = TOKEN_COUNT.matcher(prompt);
    if (matcher.find()) {
      return Math.max(1, Integer.parseInt(matcher.group(1)));
    }
    return MIN_TOKENS + (int) Long.remainderUnsigned(promptHash(prompt), TOKEN_RANGE);
  }

  /** Returns the token at an index of the completion. */
  public static String token(long promptHash, int index) {
    long mixed = promptHash + 0x9E3779B97F4A7C15L * (index + 1);
    return Long.toString((mixed ^ (mixed >>> 31)) & 0xFFFFF, Character.MAX_RADIX) + " ";
  }

  /** Returns the hash of a prompt, from which its tokens are derived. */
  public static long promptHash(String prompt) {
    return Hashing.komihash5_0().hashCharsToLong(prompt);
  }

  /** Returns the complete text. */
  public static String text(String prompt) {
    long hash = promptHash(prompt);
    StringBuilder text = new StringBuilder();
    int length = tokenCount(prompt);
    for (int i = 0; i < length; i++) {
      text.append(token(hash, i));
    }
    return text.toString();
  }
}
