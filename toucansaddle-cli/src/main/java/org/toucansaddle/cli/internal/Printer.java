package org.toucansaddle.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Prints JSON, aligned columns or single lines. Not thread-safe. */
final class Printer {

  private final PrintWriter out;

  Printer(PrintWriter out) {
    this.out = out;
  }

  void printJson(JsonNode node) {
    out.println(node.toPrettyString());
    out.flush();
  }

  /** Prints the given fields of each item as aligned columns, and '-' for a missing field. */
  void printTable(JsonNode items, String... fields) {
    List<String[]> rows = new ArrayList<>();
    rows.add(headerRow(fields));
    for (JsonNode item : items) {
      String[] row = new String[fields.length];
      for (int i = 0; i < fields.length; i++) {
        row[i] = item.path(fields[i]).asText("-");
      }
      rows.add(row);
    }
    printRows(rows);
  }

  private static String[] headerRow(String... fields) {
    String[] row = new String[fields.length];
    for (int i = 0; i < fields.length; i++) {
      row[i] = fields[i].replace('_', ' ').toUpperCase(Locale.ROOT);
    }
    return row;
  }

  private void printRows(List<String[]> rows) {
    int columnCount = rows.get(0).length;
    int[] columnWidths = new int[columnCount];
    for (String[] row : rows) {
      for (int i = 0; i < columnCount; i++) {
        columnWidths[i] = Math.max(columnWidths[i], row[i].length());
      }
    }
    for (String[] row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < columnCount; i++) {
        line.append(row[i]).append(" ".repeat(columnWidths[i] - row[i].length() + 2));
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
