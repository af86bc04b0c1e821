package org.toucansaddle.usage;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A caller that reads a response in parts and may leave before its end, on a connection of its own.
 * Used by one thread.
 */
final class StreamCaller implements AutoCloseable {

  private static final int TIMEOUT_MILLIS = 10_000;

  private final Socket socket;
  private final InputStream in;
  private final int status;
  private final Map<String, String> headers;
  private final StringBuilder body = new StringBuilder();
  private boolean ended;
  private boolean complete;

  /** Sends a request without a body and reads the head of the response. */
  StreamCaller(String address, String path, Map<String, String> fields) throws IOException {
    String[] hostAndPort = address.split(":");
    socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
    socket.setSoTimeout(TIMEOUT_MILLIS);
    StringBuilder head = new StringBuilder("GET " + path + " HTTP/1.1\r\n");
    head.append("Host: " + LocalGateway.HOST + "\r\n");
    head.append("X-Api-Key: " + LocalGateway.API_KEY + "\r\n");
    fields.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    head.append("Connection: close\r\n\r\n");
    socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.US_ASCII));
    in = new BufferedInputStream(socket.getInputStream());
    String statusLine = HttpText.readLine(in);
    if (statusLine.isEmpty()) {
      throw new IOException("connection closed without a response to " + path);
    }
    status = Integer.parseInt(statusLine.split(" ")[1]);
    headers = HttpText.readFields(in);
  }

  int status() {
    return status;
  }

  /** Returns the body as far as it was read. */
  String body() {
    return body.toString();
  }

  /** Returns whether the body was read to its end and is complete as its framing shows. */
  boolean isComplete() {
    return complete;
  }

  /** Reads until the event with an id has arrived, or to the end. */
  void readEvent(int id) {
    while (!ended && !hasEvent(id)) {
      readPart();
    }
  }

  private boolean hasEvent(int id) {
    int start = body.indexOf("id: " + id + "\n");
    return start >= 0 && body.indexOf("\n\n", start) >= 0;
  }

  /** Reads to the end. */
  void readToEnd() {
    while (!ended) {
      readPart();
    }
  }

  private void readPart() {
    try {
      if (headers.containsKey("Transfer-Encoding")) {
        readChunk();
      } else {
        int length = Integer.parseInt(headers.get("Content-Length"));
        byte[] content = in.readNBytes(length);
        end(content, content.length == length);
      }
    } catch (IOException e) {
      // A reset connection shows that the response is incomplete.
      ended = true;
    }
  }

  private void readChunk() throws IOException {
    String size = HttpText.readLine(in);
    int length = size.isEmpty() ? 0 : Integer.parseInt(size, 16);
    byte[] content = in.readNBytes(length);
    HttpText.readLine(in);
    if (length == 0 || content.length < length) {
      end(content, size.equals("0"));
    } else {
      append(content);
    }
  }

  private void end(byte[] content, boolean isWhole) {
    append(content);
    ended = true;
    complete = isWhole;
  }

  private void append(byte[] content) {
    body.append(new String(content, StandardCharsets.UTF_8));
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
