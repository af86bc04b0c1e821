package org.toucansaddle.daemon.internal.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Optional;

/**
 * Content of one event of a streamed completion. Immutable.
 *
 * <p>Parsed with a streaming parser instead of a tree, because a router parses an event for every
 * token.
 *
 * @param text generated text, empty if the event carries none
 * @param usage token counts, present in the last event only
 */
record CompletionEvent(String text, Optional<TokenUsage> usage) {

  private static final JsonFactory JSON = new JsonFactory();

  /** Parses an event's data; fails if it is not exactly one JSON object. */
  static CompletionEvent parse(byte[] json) throws IOException {
    try (JsonParser parser = JSON.createParser(json)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new IOException("The event is not a JSON object. Send an object such as {}.");
      }
      Reader reader = new Reader(parser);
      reader.readObject();
      if (parser.nextToken() != null) {
        throw new IOException("The event has trailing data. Send one JSON object per event.");
      }
      return reader.event();
    }
  }

  /** Collects text and usage while parsing. Not thread-safe. */
  private static final class Reader {

    private final JsonParser parser;
    private String text = "";
    private String finishReason = "";
    private int promptTokens;
    private int completionTokens;

    Reader(JsonParser parser) {
      this.parser = parser;
    }

    CompletionEvent event() {
      return new CompletionEvent(
          text,
          finishReason.isEmpty()
              ? Optional.empty()
              : Optional.of(new TokenUsage(promptTokens, completionTokens, finishReason)));
    }

    void readObject() throws IOException {
      while (parser.nextToken() != JsonToken.END_OBJECT) {
        String name = parser.currentName();
        JsonToken value = parser.nextToken();
        if (name.equals("choices") && value == JsonToken.START_ARRAY) {
          readChoices();
        } else if (name.equals("usage") && value == JsonToken.START_OBJECT) {
          readUsage();
        } else {
          parser.skipChildren();
        }
      }
    }

    private void readChoices() throws IOException {
      boolean first = true;
      while (parser.nextToken() != JsonToken.END_ARRAY) {
        if (first && parser.currentToken() == JsonToken.START_OBJECT) {
          readChoice();
        } else {
          parser.skipChildren();
        }
        first = false;
      }
    }

    private void readChoice() throws IOException {
      while (parser.nextToken() != JsonToken.END_OBJECT) {
        String name = parser.currentName();
        JsonToken value = parser.nextToken();
        boolean isString = value == JsonToken.VALUE_STRING;
        if (name.equals("text") && isString) {
          text = parser.getText();
        } else if (name.equals("finish_reason") && isString) {
          finishReason = parser.getText();
        } else if (name.equals("delta") && value == JsonToken.START_OBJECT) {
          readDelta();
        } else {
          parser.skipChildren();
        }
      }
    }

    private void readDelta() throws IOException {
      while (parser.nextToken() != JsonToken.END_OBJECT) {
        String name = parser.currentName();
        JsonToken value = parser.nextToken();
        if (name.equals("content") && value == JsonToken.VALUE_STRING) {
          text = parser.getText();
        } else {
          parser.skipChildren();
        }
      }
    }

    private void readUsage() throws IOException {
      while (parser.nextToken() != JsonToken.END_OBJECT) {
        String name = parser.currentName();
        JsonToken value = parser.nextToken();
        if (name.equals("prompt_tokens") && value == JsonToken.VALUE_NUMBER_INT) {
          promptTokens = parser.getIntValue();
        } else if (name.equals("completion_tokens") && value == JsonToken.VALUE_NUMBER_INT) {
          completionTokens = parser.getIntValue();
        } else {
          parser.skipChildren();
        }
      }
    }
  }
}
