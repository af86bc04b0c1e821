package org.toucansaddle.daemon.internal.gateway.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Converts text to values of header fields and back.
 *
 * <p>The HTTP library writes the low byte of each character of a value and reads each byte as one
 * character, so a value is text of which each character stands for a byte. Different texts have
 * different values. Stateless and thread-safe.
 */
final class FieldText {

  /** Begins an extended value (RFC 8187), which can carry any text. */
  private static final String EXTENDED_PREFIX = "UTF-8''";

  /** Characters besides letters and digits that an extended value contains as they are. */
  private static final String EXTENDED_SYMBOLS = "!#$&+-.^_`|~";

  private FieldText() {}

  /**
   * Returns the value that carries a text: the text in UTF-8, or an extended value if a plain one
   * would be cut, trimmed or mistaken for an extended one.
   */
  static String encode(String text) {
    if (!isPlain(text)) {
      return encodeExtended(text);
    }
    return isAscii(text)
        ? text
        : new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  }

  /** Returns the text of a received value in UTF-8, or in ISO 8859-1 if it is not UTF-8. */
  static String decode(String value) {
    if (isAscii(value)) {
      return value;
    }
    byte[] bytes = value.getBytes(StandardCharsets.ISO_8859_1);
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    } catch (CharacterCodingException e) {
      return value;
    }
  }

  private static boolean isAscii(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) >= 0x80) {
        return false;
      }
    }
    return true;
  }

  private static boolean isPlain(String text) {
    if (text.startsWith(" ")
        || text.endsWith(" ")
        || text.regionMatches(true, 0, EXTENDED_PREFIX, 0, EXTENDED_PREFIX.length())) {
      return false;
    }
    for (int i = 0; i < text.length(); i += Character.charCount(text.codePointAt(i))) {
      if (!isPlain(text.codePointAt(i))) {
        return false;
      }
    }
    return true;
  }

  private static boolean isPlain(int codePoint) {
    boolean isControl = codePoint < ' ' || codePoint == 0x7F;
    boolean isUnpaired =
        codePoint >= Character.MIN_SURROGATE && codePoint <= Character.MAX_SURROGATE;
    return !isControl && !isUnpaired;
  }

  private static String encodeExtended(String text) {
    StringBuilder value = new StringBuilder(EXTENDED_PREFIX);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    text.codePoints().forEach(codePoint -> writeBytes(codePoint, bytes));
    for (byte next : bytes.toByteArray()) {
      int c = next & 0xFF;
      boolean isAsIs =
          (c < 0x80 && Character.isLetterOrDigit(c)) || EXTENDED_SYMBOLS.indexOf(c) >= 0;
      if (isAsIs) {
        value.append((char) c);
      } else {
        value.append(String.format(Locale.ROOT, "%%%02X", c));
      }
    }
    return value.toString();
  }

  /** Writes a code point in UTF-8; unpaired surrogates, which UTF-8 excludes, alike. */
  private static void writeBytes(int codePoint, ByteArrayOutputStream out) {
    if (isPlain(codePoint) || codePoint < 0x80) {
      out.writeBytes(Character.toString(codePoint).getBytes(StandardCharsets.UTF_8));
    } else {
      out.write(0xE0 | codePoint >> 12);
      out.write(0x80 | codePoint >> 6 & 0x3F);
      out.write(0x80 | codePoint & 0x3F);
    }
  }
}
