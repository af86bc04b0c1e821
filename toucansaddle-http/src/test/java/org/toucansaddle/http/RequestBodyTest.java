package org.toucansaddle.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link RequestBody} on a server on loopback. */
public class RequestBodyTest {

  private static final int MAX_BYTES = 4 << 20;
  private static final int TIMEOUT_MILLIS = 5_000;

  private final BlockingQueue<byte[]> bodies = new LinkedBlockingQueue<>();
  private final BlockingQueue<IOException> failures = new LinkedBlockingQueue<>();
  private Undertow server;

  @BeforeClass
  public void startServer() {
    server =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setIoThreads(1)
            .setWorkerThreads(1)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, RequestBody.SERVER_MAX_BYTES)
            .setHandler(this::handleRequest)
            .build();
    server.start();
  }

  @AfterClass(alwaysRun = true)
  public void stopServer() {
    server.stop();
  }

  @BeforeMethod
  public void clearResults() {
    bodies.clear();
    failures.clear();
  }

  private void handleRequest(HttpServerExchange exchange) {
    RequestBody.read(
        exchange,
        MAX_BYTES,
        body -> {
          bodies.add(body);
          exchange.getResponseSender().send("read " + body.length);
        },
        failure -> {
          failures.add(failure);
          exchange.setStatusCode(413).endExchange();
        });
  }

  private Socket connect() throws IOException {
    InetSocketAddress bound = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    Socket socket = new Socket("127.0.0.1", bound.getPort());
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().flush();
  }

  /** Reads until the text ends the input received. */
  private static String readUntil(Socket socket, String end) throws IOException {
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    byte[] buffer = new byte[1_024];
    String text = "";
    while (!text.endsWith(end)) {
      int count = socket.getInputStream().read(buffer);
      if (count < 0) {
        throw new IOException("the connection ended after: " + text);
      }
      received.write(buffer, 0, count);
      text = received.toString(StandardCharsets.US_ASCII);
    }
    return text;
  }

  private static byte[] randomBytes(int count) {
    byte[] bytes = new byte[count];
    new Random(count).nextBytes(bytes);
    return bytes;
  }

  @DataProvider
  public static Object[][] sizes() {
    return new Object[][] {{1}, {12_000}, {16_384}, {16_385}, {1 << 20}, {MAX_BYTES}};
  }

  @Test(dataProvider = "sizes")
  public void shouldReadBodyWithLength(int size) throws Exception {
    byte[] body = randomBytes(size);
    try (Socket socket = connect()) {
      send(socket, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + size + "\r\n\r\n");
      socket.getOutputStream().write(body);
      readUntil(socket, "read " + size);
    }
    assertThat(bodies.poll()).isEqualTo(body);
  }

  @Test(dataProvider = "sizes")
  public void shouldReadBodyInChunksThatArriveOneByOne(int size) throws Exception {
    byte[] body = randomBytes(size);
    try (Socket socket = connect()) {
      send(socket, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
      int chunk = Math.max(1, size / 3);
      OutputStream out = socket.getOutputStream();
      for (int start = 0; start < size; start += chunk) {
        byte[] part = Arrays.copyOfRange(body, start, Math.min(size, start + chunk));
        send(socket, Integer.toHexString(part.length) + "\r\n");
        out.write(part);
        send(socket, "\r\n");
        TimeUnit.MILLISECONDS.sleep(5);
      }
      send(socket, "0\r\n\r\n");
      readUntil(socket, "read " + size);
    }
    assertThat(bodies.poll()).isEqualTo(body);
  }

  @Test
  public void shouldReadEmptyBody() throws Exception {
    try (Socket socket = connect()) {
      send(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
      readUntil(socket, "read 0");
    }
    assertThat(bodies.poll()).isEmpty();
  }

  @Test
  public void shouldReadRequestsOfOneConnectionInTurn() throws Exception {
    try (Socket socket = connect()) {
      String request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n";
      send(socket, request + "one" + request + "two");
      String responses = readUntil(socket, "read 3");
      if (bodies.size() < 2) {
        responses += readUntil(socket, "read 3");
      }
      assertThat(responses.split("read 3", -1)).hasSize(3);
    }
    assertThat(bodies.poll()).isEqualTo("one".getBytes(StandardCharsets.US_ASCII));
    assertThat(bodies.poll()).isEqualTo("two".getBytes(StandardCharsets.US_ASCII));
  }

  @Test
  public void shouldAskForBodyThatWaitsForContinue() throws Exception {
    try (Socket socket = connect()) {
      send(
          socket,
          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
      assertThat(readUntil(socket, "\r\n\r\n")).startsWith("HTTP/1.1 100");
      send(socket, "body");
      readUntil(socket, "read 4");
    }
    assertThat(bodies.poll()).isEqualTo("body".getBytes(StandardCharsets.US_ASCII));
  }

  @Test
  public void shouldFailOnBodyInChunksThatIsTooLong() throws Exception {
    try (Socket socket = connect()) {
      send(socket, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
      send(socket, Integer.toHexString(MAX_BYTES + 1) + "\r\n");
      socket.getOutputStream().write(new byte[MAX_BYTES + 1]);
      assertThat(failures.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
          .hasMessageContaining("longer than " + MAX_BYTES);
    }
    assertThat(bodies).isEmpty();
  }

  @Test
  public void shouldFailOnBodyThatIsCutShort() throws Exception {
    try (Socket socket = connect()) {
      send(socket, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345");
      socket.shutdownOutput();
      assertThat(failures.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isNotNull();
    }
    assertThat(bodies).isEmpty();
  }
}
