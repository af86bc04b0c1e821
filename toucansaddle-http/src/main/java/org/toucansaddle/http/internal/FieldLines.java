package org.toucansaddle.http.internal;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.BitSet;
import org.toucansaddle.http.MalformedResponseException;

/** Reads field lines of heads and trailers (RFC 9112, section 5). Stateless and thread-safe. */
final class FieldLines {

  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
  private static final BitSet TOKEN_CHARACTERS = tokenCharacters();
  private static final int MAX_SHOWN_CHARACTERS = 60;

  private FieldLines() {}

  private static BitSet tokenCharacters() {
    BitSet characters = new BitSet();
    characters.set('0', '9' + 1);
    characters.set('A', 'Z' + 1);
    characters.set('a', 'z' + 1);
    TOKEN_SYMBOLS.chars().forEach(characters::set);
    return characters;
  }

  /** Adds the field of a line without its end; folded lines are not valid in responses. */
  static void addTo(HeaderMap fields, String line) throws MalformedResponseException {
    int colon = line.indexOf(':');
    if (colon <= 0) {
      throw new MalformedResponseException(
          "line '%s', expected a field such as 'Name: value'".formatted(shown(line)));
    }
    for (int i = 0; i < colon; i++) {
      if (!TOKEN_CHARACTERS.get(line.charAt(i))) {
        throw new MalformedResponseException(
            "field name '%s' with the byte 0x%02x, expected a token"
                .formatted(shown(line.substring(0, colon)), (int) line.charAt(i)));
      }
    }
    HttpString name = HttpString.tryFromString(line.substring(0, colon));
    fields.add(name, line.substring(colon + 1).strip());
  }

  /** Returns the start of a text from outside, for messages. */
  static String shown(String text) {
    return text.substring(0, Math.min(text.length(), MAX_SHOWN_CHARACTERS));
  }
}
