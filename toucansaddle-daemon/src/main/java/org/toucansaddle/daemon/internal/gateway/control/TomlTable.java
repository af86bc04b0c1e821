package org.toucansaddle.daemon.internal.gateway.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.toucansaddle.daemon.gateway.DocumentException;

/**
 * One table of a TOML document, read field by field; errors name the table and the remedy.
 *
 * <p>Not thread-safe. Call {@link #end} after the last field: one that nobody read is a mistake.
 */
public final class TomlTable {

  private final String name;
  private final JsonNode node;
  private final Set<String> read = new TreeSet<>();

  /** Creates a reader; {@code name} says for messages which table it is. */
  public TomlTable(String name, JsonNode node) throws DocumentException {
    if (!node.isObject()) {
      throw new DocumentException(name + " is not a table");
    }
    this.name = name;
    this.node = node;
  }

  private JsonNode field(String field) {
    read.add(field);
    return node.path(field);
  }

  private DocumentException wrong(String field, String wanted) {
    return new DocumentException(name + ": '" + field + "' must be " + wanted);
  }

  /** Returns a text that must be there. */
  public String string(String field) throws DocumentException {
    if (!field(field).isTextual()) {
      throw wrong(field, "a text in double quotes");
    }
    return field(field).asText();
  }

  /** Returns a text. */
  public String string(String field, String otherwise) throws DocumentException {
    return field(field).isMissingNode() ? otherwise : string(field);
  }

  /** Returns a whole number from 0 on that must be there. */
  public long integer(String field) throws DocumentException {
    JsonNode value = field(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0) {
      throw wrong(field, "a whole number from 0 on");
    }
    return value.asLong();
  }

  /** Returns a whole number from 0 on that fits an {@code int}. */
  public int integer(String field, int otherwise) throws DocumentException {
    if (field(field).isMissingNode()) {
      return otherwise;
    }
    if (integer(field) > Integer.MAX_VALUE) {
      throw wrong(field, "at most " + Integer.MAX_VALUE);
    }
    return (int) integer(field);
  }

  /** Returns whether something holds; false if the document does not say. */
  public boolean flag(String field) throws DocumentException {
    JsonNode value = field(field);
    if (!value.isMissingNode() && !value.isBoolean()) {
      throw wrong(field, "true or false");
    }
    return value.asBoolean(false);
  }

  /** Returns whether a field is there. */
  public boolean has(String field) {
    return !field(field).isMissingNode();
  }

  /** Returns a table within this one. */
  public TomlTable table(String field) throws DocumentException {
    return new TomlTable(name + " " + field, field(field));
  }

  /** Returns the tables of a list; none if the document does not name it. */
  public List<TomlTable> tables(String field) throws DocumentException {
    List<TomlTable> tables = new ArrayList<>();
    JsonNode list = field(field);
    if (!list.isMissingNode() && !list.isArray()) {
      throw wrong(field, "a list of tables");
    }
    for (JsonNode each : list) {
      String label = each.path("name").asText("number " + (tables.size() + 1));
      tables.add(new TomlTable(field + " '" + label + "'", each));
    }
    return tables;
  }

  /** Returns the texts of a list that must be there. */
  public List<String> strings(String field) throws DocumentException {
    List<String> texts = new ArrayList<>();
    if (!field(field).isArray()) {
      throw wrong(field, "a list of texts");
    }
    for (JsonNode each : field(field)) {
      if (!each.isTextual()) {
        throw wrong(field, "a list of texts");
      }
      texts.add(each.asText());
    }
    return texts;
  }

  /** Refuses fields that were not read, most likely misspelt. */
  public void rejectUnknownFields() throws DocumentException {
    for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
      String field = names.next();
      if (!read.contains(field)) {
        throw new DocumentException(
            name + ": '" + field + "' is no field; there are " + String.join(", ", read));
      }
    }
  }
}
