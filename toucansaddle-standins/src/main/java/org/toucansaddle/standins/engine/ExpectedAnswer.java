package org.toucansaddle.standins.engine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The answer that every stand-in engine gives to a prompt, so that a caller can check it.
 *
 * <p>Its length is hidden in the prompt as {@code [tokens=N]}; without it the length follows from
 * the prompt's hash. Stateless and thread-safe.
 */
public final class ExpectedAnswer {

  private static final Pattern LENGTH = Pattern.compile("\\[tokens=([0-9]{1,6})]");
  private static final int SHORTEST = 16;
  private static final int SPREAD = 48;

  private ExpectedAnswer() {}

  /** Returns the number of tokens of the answer. */
  public static int length(String prompt) {
    Matcher matcher = LENGTH.matcher(prompt);
    if (matcher.find()) {
      return Math.max(1, Integer.parseInt(matcher.group(1)));
    }
    return SHORTEST + (int) Long.remainderUnsigned(hash(prompt), SPREAD);
  }

  /** Returns one token of the answer. */
  public static String token(long promptHash, int index) {
    long mixed = promptHash + 0x9E3779B97F4A7C15L * (index + 1);
    return Long.toString((mixed ^ (mixed >>> 31)) & 0xFFFFF, Character.MAX_RADIX) + " ";
  }

  /** Returns the hash of a prompt that its tokens are made from. */
  public static long hash(String prompt) {
    return Hashing.komihash5_0().hashCharsToLong(prompt);
  }

  /** Returns the whole answer. */
  public static String text(String prompt) {
    long hash = hash(prompt);
    StringBuilder text = new StringBuilder();
    int length = length(prompt);
    for (int i = 0; i < length; i++) {
      text.append(token(hash, i));
    }
    return text.toString();
  }
}
