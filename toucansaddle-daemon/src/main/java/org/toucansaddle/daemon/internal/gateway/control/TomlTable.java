package org.toucansaddle.daemon.internal.gateway.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.toucansaddle.daemon.gateway.DocumentException;

/**
 * Reader for one table of a TOML document; exceptions name the table, the field and the remedy.
 *
 * <p>Not thread-safe. Call {@link #rejectUnknownFields} after reading the last field, so that
 * misspelt fields are reported.
 */
public final class TomlTable {

  private final String name;
  private final JsonNode node;
  private final Set<String> knownFields = new TreeSet<>();

  /**
   * Creates a reader.
   *
   * @param name name of the table in messages
   * @throws DocumentException if the node is not a table
   */
  public TomlTable(String name, JsonNode node) throws DocumentException {
    if (!node.isObject()) {
      throw new DocumentException(name + " is not a table");
    }
    this.name = name;
    this.node = node;
  }

  private JsonNode field(String field) {
    knownFields.add(field);
    return node.path(field);
  }

  private DocumentException invalid(String field, String requirement) {
    return new DocumentException(name + ": '" + field + "' must be " + requirement);
  }

  /** Returns a required string. */
  public String string(String field) throws DocumentException {
    if (!field(field).isTextual()) {
      throw invalid(field, "a string in double quotes");
    }
    return field(field).asText();
  }

  /** Returns an optional string. */
  public String string(String field, String defaultValue) throws DocumentException {
    return field(field).isMissingNode() ? defaultValue : string(field);
  }

  /** Returns a required integer of at least 0. */
  public long integer(String field) throws DocumentException {
    JsonNode value = field(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0) {
      throw invalid(field, "a whole number of at least 0");
    }
    return value.asLong();
  }

  /** Returns an optional integer from 0 to {@link Integer#MAX_VALUE}. */
  public int integer(String field, int defaultValue) throws DocumentException {
    if (field(field).isMissingNode()) {
      return defaultValue;
    }
    if (integer(field) > Integer.MAX_VALUE) {
      throw invalid(field, "at most " + Integer.MAX_VALUE);
    }
    return (int) integer(field);
  }

  /** Returns a required number above 0, with or without decimals. */
  public double positiveNumber(String field) throws DocumentException {
    JsonNode value = field(field);
    if (!value.isNumber() || !Double.isFinite(value.asDouble()) || value.asDouble() <= 0) {
      throw invalid(field, "a number above 0");
    }
    return value.asDouble();
  }

  /** Returns an optional boolean; the default is false. */
  public boolean flag(String field) throws DocumentException {
    JsonNode value = field(field);
    if (!value.isMissingNode() && !value.isBoolean()) {
      throw invalid(field, "true or false");
    }
    return value.asBoolean(false);
  }

  /** Returns whether a field is present. */
  public boolean has(String field) {
    return !field(field).isMissingNode();
  }

  /** Returns a required nested table. */
  public TomlTable table(String field) throws DocumentException {
    return new TomlTable(name + " " + field, field(field));
  }

  /** Returns an optional list of tables; the default is empty. */
  public List<TomlTable> tables(String field) throws DocumentException {
    List<TomlTable> tables = new ArrayList<>();
    JsonNode list = field(field);
    if (!list.isMissingNode() && !list.isArray()) {
      throw invalid(field, "a list of tables");
    }
    for (JsonNode element : list) {
      String label = element.path("name").asText("number " + (tables.size() + 1));
      tables.add(new TomlTable(field + " '" + label + "'", element));
    }
    return tables;
  }

  /** Returns a required list of strings. */
  public List<String> strings(String field) throws DocumentException {
    List<String> strings = new ArrayList<>();
    if (!field(field).isArray()) {
      throw invalid(field, "a list of strings");
    }
    for (JsonNode element : field(field)) {
      if (!element.isTextual()) {
        throw invalid(field, "a list of strings");
      }
      strings.add(element.asText());
    }
    return strings;
  }

  /**
   * Checks that every field of the table has been read.
   *
   * @throws DocumentException if there are other fields, which are most likely misspelt
   */
  public void rejectUnknownFields() throws DocumentException {
    for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
      String field = names.next();
      if (!knownFields.contains(field)) {
        throw new DocumentException(
            name
                + ": '"
                + field
                + "' is not a known field; known fields: "
                + String.join(", ", knownFields));
      }
    }
  }
}
