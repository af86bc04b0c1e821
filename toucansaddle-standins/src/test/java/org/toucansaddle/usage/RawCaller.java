package org.toucansaddle.usage;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A caller on a plain socket that judges by the framing alone whether a response is complete.
 * Stateless and thread-safe.
 */
final class RawCaller {

  private static final int TIMEOUT_MILLIS = 20_000;

  /**
   * A response as its framing shows it. Immutable.
   *
   * @param complete whether the framing says that the body is complete
   */
  record RawResponse(int status, Map<String, String> headers, String body, boolean complete) {}

  private RawCaller() {}

  /** Sends a request without a body to a router of a gateway, on a connection of its own. */
  static RawResponse get(String address, String path, String httpVersion) throws IOException {
    String[] hostAndPort = address.split(":");
    try (Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]))) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      String head =
          "GET "
              + path
              + " HTTP/"
              + httpVersion
              + "\r\nHost: "
              + LocalGateway.HOST
              + "\r\nX-Request-Id: r"
              + path.hashCode()
              + "\r\nX-Api-Key: "
              + LocalGateway.API_KEY
              + "\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      return readResponse(new BufferedInputStream(socket.getInputStream()));
    }
  }

  /**
   * Reads a response.
   *
   * @throws IOException if the connection ended before the status
   */
  static RawResponse readResponse(InputStream in) throws IOException {
    String statusLine = HttpText.readLine(in);
    if (statusLine.isEmpty()) {
      throw new IOException("the connection ended without a response");
    }
    int status = Integer.parseInt(statusLine.split(" ")[1]);
    Map<String, String> headers = HttpText.readFields(in);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete = readBody(in, headers, body);
    return new RawResponse(status, headers, body.toString(StandardCharsets.UTF_8), complete);
  }

  /** Reads a body as far as it comes; returns whether it is complete. */
  private static boolean readBody(
      InputStream in, Map<String, String> headers, ByteArrayOutputStream body) {
    try {
      if (headers.containsKey("Transfer-Encoding")) {
        return readChunks(in, body);
      }
      String length = headers.getOrDefault("Content-Length", "");
      if (!length.isEmpty()) {
        byte[] content = in.readNBytes(Integer.parseInt(length));
        body.writeBytes(content);
        return content.length == Integer.parseInt(length);
      }
      for (int c = in.read(); c >= 0; c = in.read()) {
        body.write(c);
      }
      return true;
    } catch (IOException e) {
      // A reset connection shows that the response is incomplete.
      return false;
    }
  }

  private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
    while (true) {
      String size = HttpText.readLine(in);
      if (size.isEmpty()) {
        return false;
      }
      int length = Integer.parseInt(size, 16);
      byte[] content = in.readNBytes(length);
      body.writeBytes(content);
      if (content.length < length) {
        return false;
      }
      HttpText.readLine(in);
      if (length == 0) {
        return true;
      }
    }
  }
}
