package org.toucansaddle.standins.journal;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One line of a journal. Immutable, provided that {@code fields} is not modified.
 *
 * @param timeMillis milliseconds since the epoch
 * @param event type of the event
 * @param fields all fields of the entry, including time and event
 */
public record JournalEntry(long timeMillis, String event, JsonNode fields) {

  /** Returns a field as text, or an empty string if it is missing. */
  public String text(String field) {
    return fields.path(field).asText();
  }
}
