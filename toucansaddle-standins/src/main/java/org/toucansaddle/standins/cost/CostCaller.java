package org.toucansaddle.standins.cost;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

/** One caller on a connection that it keeps or renews. Used by one thread. */
public final class CostCaller implements AutoCloseable {

  private static final AtomicLong IDS = new AtomicLong(System.nanoTime());
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int BODY_BYTES = 300;
  private static final int OK = 200;

  private final String address;
  private Socket socket;
  private InputStream in;

  /** Creates a caller of a router. */
  public CostCaller(String address) {
    this.address = address;
  }

  boolean isRefused(String route) {
    try {
      return send(route, 0, 0, true) != OK;
    } catch (IOException e) {
      close();
      return true;
    }
  }

  /**
   * Sends a request, reads its response and returns the status.
   *
   * @param promptTokens tokens of the prompt; 0 for a request that is none to a model
   * @param last whether the connection is closed afterwards
   */
  public int send(String route, int account, int promptTokens, boolean last) throws IOException {
    if (socket == null) {
      int colon = address.lastIndexOf(':');
      socket =
          new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
    }
    socket.getOutputStream().write(head(route, account, promptTokens));
    int status = readResponse();
    if (last) {
      close();
    }
    return status;
  }

  private static byte[] head(String route, int account, int promptTokens) {
    String id = Long.toHexString(IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
    StringBuilder head = new StringBuilder("POST /" + route + "/" + id + " HTTP/1.1\r\n");
    head.append("Host: ").append(CostDocument.HOST).append("\r\n");
    head.append("X-Api-Key: ").append(CostDocument.key(account)).append("\r\n");
    head.append("X-Request-Id: ").append(id).append("\r\n");
    head.append("X-Deadline-Ms: 6000\r\n");
    if (promptTokens > 0) {
      head.append("X-Tokens: ").append(promptTokens).append(",40\r\n");
      head.append("X-Prompt-Parts: ").append("5c1e07a2:").append(promptTokens / 2);
      head.append(",").append(id).append(":").append(promptTokens - promptTokens / 2);
      head.append("\r\nX-Length-Hint: 30\r\nX-Model: m\r\n");
    }
    head.append("Content-Length: ").append(BODY_BYTES).append("\r\n\r\n");
    head.append("b".repeat(BODY_BYTES));
    return head.toString().getBytes(StandardCharsets.US_ASCII);
  }

  private int readResponse() throws IOException {
    String statusLine = readLine();
    if (statusLine.isEmpty()) {
      throw new IOException("closed without a response");
    }
    int length = -1;
    boolean closes = false;
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      String lower = line.toLowerCase(Locale.ROOT);
      if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
      }
      closes |= lower.startsWith("connection: close");
    }
    readBody(length);
    if (closes) {
      close();
    }
    return Integer.parseInt(statusLine.split(" ")[1]);
  }

  private void readBody(int length) throws IOException {
    if (length >= 0) {
      in.readNBytes(length);
      return;
    }
    int size = Integer.parseInt(readLine(), 16);
    while (size > 0) {
      in.readNBytes(size);
      readLine();
      size = Integer.parseInt(readLine(), 16);
    }
    readLine();
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }

  @Override
  public void close() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // The connection is given up in any case.
    }
    socket = null;
  }
}
