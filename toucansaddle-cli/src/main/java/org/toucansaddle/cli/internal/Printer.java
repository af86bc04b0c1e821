package org.toucansaddle.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Prints JSON or aligned columns. Used by one thread. */
final class Printer {

  private final PrintWriter out;

  Printer(PrintWriter out) {
    this.out = out;
  }

  void printJson(JsonNode node) {
    out.println(node.toPrettyString());
    out.flush();
  }

  /** Prints the named fields of each item as columns. */
  void printTable(JsonNode items, String... fields) {
    List<String[]> rows = new ArrayList<>();
    rows.add(header(fields));
    for (JsonNode item : items) {
      String[] row = new String[fields.length];
      for (int i = 0; i < fields.length; i++) {
        row[i] = item.path(fields[i]).asText("-");
      }
      rows.add(row);
    }
    print(rows);
  }

  private static String[] header(String... fields) {
    String[] row = new String[fields.length];
    for (int i = 0; i < fields.length; i++) {
      row[i] = fields[i].replace('_', ' ').toUpperCase(Locale.ROOT);
    }
    return row;
  }

  private void print(List<String[]> rows) {
    int columns = rows.get(0).length;
    int[] widths = new int[columns];
    for (String[] row : rows) {
      for (int i = 0; i < columns; i++) {
        widths[i] = Math.max(widths[i], row[i].length());
      }
    }
    for (String[] row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < columns; i++) {
        line.append(row[i]).append(" ".repeat(widths[i] - row[i].length() + 2));
      }
      out.println(line.toString().stripTrailing());
    }
    out.flush();
  }

  void printLine(String text) {
    out.println(text);
    out.flush();
  }
}
