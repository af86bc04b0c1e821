package org.toucansaddle.standins.journal;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One line of a journal. Immutable by agreement: nobody changes {@code fields}.
 *
 * @param time milliseconds since the epoch
 * @param event kind of event
 * @param fields all fields
 */
public record JournalEntry(long timeMillis, String event, JsonNode fields) {

  /** Returns a field as text, or an empty string. */
  public String text(String field) {
    return fields.path(field).asText();
  }
}
