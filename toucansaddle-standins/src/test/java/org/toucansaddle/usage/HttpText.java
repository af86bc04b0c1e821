package org.toucansaddle.usage;

import java.io.IOException;
import java.io.InputStream;
import java.util.Map;
import java.util.TreeMap;

/** Reads the text of HTTP messages from plain sockets. Stateless and thread-safe. */
final class HttpText {

  private HttpText() {}

  /** Reads header fields up to the blank line that ends them; names are case-insensitive. */
  static Map<String, String> readFields(InputStream in) throws IOException {
    Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      fields.put(line.substring(0, colon), line.substring(colon + 1).trim());
    }
    return fields;
  }

  /** Reads a line without its end; empty at the end of the connection. */
  static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }
}
