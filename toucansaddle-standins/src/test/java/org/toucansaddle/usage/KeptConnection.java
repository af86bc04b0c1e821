package org.toucansaddle.usage;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.toucansaddle.usage.RawCaller.RawResponse;

/**
 * A connection to a router that carries several requests, which may be sent in pieces or before the
 * response to the one before. Used by one thread.
 */
final class KeptConnection implements AutoCloseable {

  private static final int TIMEOUT_MILLIS = 15_000;

  private final Socket socket;
  private final InputStream in;

  KeptConnection(String address) throws IOException {
    this(address, 0);
  }

  /**
   * Opens a connection.
   *
   * @param receiveBufferBytes size of the receive buffer; 0 for the default
   */
  KeptConnection(String address, int receiveBufferBytes) throws IOException {
    String[] hostAndPort = address.split(":");
    socket = new Socket();
    if (receiveBufferBytes > 0) {
      socket.setReceiveBufferSize(receiveBufferBytes);
    }
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    socket.connect(new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1])));
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Returns the bytes of a request without a body. */
  static String get(String path, String id) {
    return head("GET", path, id) + "\r\n";
  }

  /** Returns the head of a request with a body. */
  static String postHead(String path, String id, int length) {
    return head("POST", path, id) + "Content-Length: " + length + "\r\n\r\n";
  }

  /** Returns the head of a request whose body is sent after an interim response asks for it. */
  static String expectingPostHead(String path, String id, int length) {
    return head("POST", path, id)
        + "Expect: 100-continue\r\nContent-Length: "
        + length
        + "\r\n\r\n";
  }

  /** Returns the head of a request whose body comes in chunks. */
  static String chunkedPostHead(String path, String id) {
    return head("POST", path, id) + "Transfer-Encoding: chunked\r\n\r\n";
  }

  /** Returns one chunk of a body; the last one is empty. */
  static String chunk(String content) {
    return Integer.toHexString(content.length()) + "\r\n" + content + "\r\n";
  }

  private static String head(String method, String path, String id) {
    return "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Api-Key: %s\r\n"
        .formatted(method, path, LocalGateway.HOST, id, LocalGateway.API_KEY);
  }

  void send(String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
  }

  /**
   * Reads the response to the oldest request without one.
   *
   * @throws IOException if the connection ended before the status
   */
  RawResponse receive() throws IOException {
    return RawCaller.readResponse(in);
  }

  /**
   * Reads until a text has arrived, and returns what was read.
   *
   * @throws IOException if the connection ended before
   */
  String receiveUntil(String end) throws IOException {
    StringBuilder received = new StringBuilder();
    while (received.indexOf(end) < 0) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("the connection ended after: " + received);
      }
      received.append((char) next);
    }
    return received.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
