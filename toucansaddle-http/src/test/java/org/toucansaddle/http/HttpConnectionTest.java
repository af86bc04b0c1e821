package org.toucansaddle.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.ref.WeakReference;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.http.internal.RawServer;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** Tests of {@link HttpConnection}. */
public class HttpConnectionTest {

  private static final int TIMEOUT_SECONDS = 10;
  private static final int SMALL_BUFFER_BYTES = 4 * 1024;

  /** More than the buffers of both ends of a connection hold. */
  private static final int LONG_BODY_BYTES = 32 << 20;

  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  private XnioWorker worker;
  private XnioIoThread ioThread;

  @BeforeClass
  public void startWorker() throws IOException {
    worker =
        Xnio.getInstance(HttpConnectionTest.class.getClassLoader())
            .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    ioThread = worker.getIoThread();
  }

  @AfterClass(alwaysRun = true)
  public void stopWorker() {
    worker.shutdownNow();
  }

  /** Collects the head; content is read by the test. */
  private static final class HeadReceiver implements HttpConnection.Exchange {
    private final CompletableFuture<ResponseHead> head = new CompletableFuture<>();

    @Override
    public void onHead(ResponseHead received) {
      head.complete(received);
    }

    @Override
    public void onReadable() {}

    @Override
    public void onFailure(IOException cause) {
      head.completeExceptionally(cause);
    }

    ResponseHead await() throws Exception {
      return head.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
  }

  private HttpConnection connect(RawServer server) throws Exception {
    CompletableFuture<HttpConnection> opened = new CompletableFuture<>();
    HttpConnection.connect(
        server.address(), ioThread, opened::complete, opened::completeExceptionally);
    return opened.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private <T> T onIoThread(Callable<T> action) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    ioThread.execute(
        () -> {
          try {
            result.complete(action.call());
          } catch (Exception e) {
            result.completeExceptionally(e);
          }
        });
    return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private HeadReceiver send(HttpConnection connection, String method, byte[] body)
      throws Exception {
    HeadReceiver receiver = new HeadReceiver();
    HeaderMap fields = new HeaderMap();
    fields.put(Headers.HOST, "h.example");
    if (body.length > 0) {
      fields.put(Headers.CONTENT_LENGTH, body.length);
    }
    onIoThread(
        () -> {
          connection.send(method, "/", fields, body, receiver);
          return null;
        });
    return receiver;
  }

  /** Reads until the response is complete. */
  private String readAll(HttpConnection connection) throws Exception {
    StringBuilder content = new StringBuilder();
    ByteBuffer buffer = ByteBuffer.allocate(1 << 10);
    while (onIoThread(() -> connection.read(buffer.clear())) >= 0) {
      content.append(StandardCharsets.ISO_8859_1.decode(buffer.flip()));
    }
    return content.toString();
  }

  private static void write(Socket socket, String text) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static RawServer answering(String... answers) throws IOException {
    return new RawServer(
        socket -> {
          for (String answer : answers) {
            RawServer.readHead(socket.getInputStream());
            write(socket, answer);
          }
          RawServer.readHead(socket.getInputStream());
        });
  }

  /**
   * Guards against a part of an answer that looks complete, since the failed write of a long
   * request has taken the error of the reset connection.
   */
  @Test
  public void shouldNotCompleteBodyOfConnectionThatIsResetDuringTheRequest() throws Exception {
    CountDownLatch headRead = new CountDownLatch(1);
    RawServer.Script script =
        socket -> {
          RawServer.readHead(socket.getInputStream());
          write(socket, "HTTP/1.1 200 OK\r\n\r\npart");
          headRead.await();
          socket.setSoLinger(true, 0);
        };
    try (RawServer server = new RawServer(SMALL_BUFFER_BYTES, script)) {
      HttpConnection connection = connect(server);
      HeadReceiver receiver = send(connection, "POST", new byte[LONG_BODY_BYTES]);
      assertThat(receiver.await().framing()).isEqualTo(ResponseFraming.CONNECTION_END);

      headRead.countDown();
      Thread.sleep(300);

      assertThatThrownBy(() -> readAll(connection)).hasCauseInstanceOf(IOException.class);
      connection.close();
    }
  }

  /** A server may refuse a long request before it has read it. */
  @Test
  public void shouldCompleteBodyOfKnownLengthAlthoughTheRequestIsNotWritten() throws Exception {
    RawServer.Script script =
        socket -> {
          RawServer.readHead(socket.getInputStream());
          write(socket, "HTTP/1.1 413 Too Long\r\nContent-Length: 4\r\n\r\nlong");
          Thread.sleep(200);
        };
    try (RawServer server = new RawServer(SMALL_BUFFER_BYTES, script)) {
      HttpConnection connection = connect(server);
      HeadReceiver receiver = send(connection, "POST", new byte[LONG_BODY_BYTES]);
      assertThat(receiver.await().status()).isEqualTo(413);
      assertThat(readAll(connection)).isEqualTo("long");
      assertThat(onIoThread(connection::endExchange)).as("reusable").isFalse();
      connection.close();
    }
  }

  @DataProvider
  public Object[][] reusable() {
    return new Object[][] {
      {"GET", OK, "ok", true},
      {
        "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", "a", true
      },
      {"GET", "HTTP/1.1 204 No Content\r\n\r\n", "", true},
      {"GET", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", "", true},
      {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", "", true},
      {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "", true},
      {"HEAD", "HTTP/1.1 200 OK\r\n\r\n", "", true},
      {"GET", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", false},
      {"GET", "HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\nContent-Length: 0\r\n\r\n", "", true},
      {"GET", "HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 0\r\n\r\n", "", false},
      {"GET", OK + "HTTP/1.1 200 OK\r\n", "ok", false},
    };
  }

  /** Guards against bytes after a response that are taken for the response to the next request. */
  @Test(dataProvider = "reusable")
  public void shouldKeepConnectionOnlyAfterTheEndOfTheResponse(
      String method, String answer, String body, boolean reusable) throws Exception {
    try (RawServer server = answering(answer)) {
      HttpConnection connection = connect(server);
      send(connection, method, new byte[0]).await();
      assertThat(readAll(connection)).isEqualTo(body);
      assertThat(onIoThread(connection::endExchange)).isEqualTo(reusable);
      connection.close();
    }
  }

  /** Guards against bytes of an idle connection that are taken for the response to a request. */
  @Test
  public void shouldCloseIdleConnectionOnWhichSomethingArrives() throws Exception {
    CountDownLatch idle = new CountDownLatch(1);
    RawServer.Script script =
        socket -> {
          RawServer.readHead(socket.getInputStream());
          write(socket, OK);
          idle.await();
          write(socket, OK);
          RawServer.readHead(socket.getInputStream());
        };
    try (RawServer server = new RawServer(script)) {
      HttpConnection connection = connect(server);
      CompletableFuture<Void> closed = new CompletableFuture<>();
      onIoThread(
          () -> {
            connection.onClose(() -> closed.complete(null));
            return null;
          });
      send(connection, "GET", new byte[0]).await();
      readAll(connection);
      assertThat(onIoThread(connection::endExchange)).isTrue();

      idle.countDown();

      closed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertThat(connection.isOpen()).isFalse();
    }
  }

  /** Guards against idle connections that hold the last request of each in memory. */
  @Test
  public void shouldKeepNothingOfRequestThatIsWritten() throws Exception {
    try (RawServer server = answering(OK)) {
      HttpConnection connection = connect(server);
      WeakReference<byte[]> body = sendBody(connection);
      readAll(connection);
      assertThat(onIoThread(connection::endExchange)).isTrue();
      for (int i = 0; i < 100 && body.get() != null; i++) {
        System.gc();
        Thread.sleep(20);
      }
      assertThat(body.get()).isNull();
      assertThat(connection.isOpen()).isTrue();
      connection.close();
    }
  }

  private WeakReference<byte[]> sendBody(HttpConnection connection) throws Exception {
    byte[] body = new byte[100];
    send(connection, "POST", body).await();
    return new WeakReference<>(body);
  }

  @DataProvider
  public Object[][] endsWithinHead() {
    return new Object[][] {
      {""}, {"HTTP/1.1 200 OK\r\n"}, {"HTTP/1.1 199 Interim\r\n\r\n"}, {"HTTP/1.1 100 \r\n\r\n"},
    };
  }

  /** Guards against an exchange that never ends after an interim response. */
  @Test(dataProvider = "endsWithinHead")
  public void shouldFailWhenConnectionEndsBeforeTheHeadDoes(String answer) throws Exception {
    RawServer.Script script =
        socket -> {
          RawServer.readHead(socket.getInputStream());
          write(socket, answer);
        };
    try (RawServer server = new RawServer(script)) {
      HeadReceiver receiver = send(connect(server), "GET", new byte[0]);
      assertThatThrownBy(receiver::await).hasMessageContaining("before the end of the head");
    }
  }

  /** Guards against a head without end that fills the memory. */
  @Test
  public void shouldFailWhenHeadIsTooLong() throws Exception {
    String field = "X-Field: " + "a".repeat(1 << 10) + "\r\n";
    try (RawServer server = answering("HTTP/1.1 200 OK\r\n" + field.repeat(100))) {
      HeadReceiver receiver = send(connect(server), "GET", new byte[0]);
      assertThatThrownBy(receiver::await)
          .hasCauseInstanceOf(MalformedResponseException.class)
          .hasMessageContaining("more than");
    }
  }

  /** Guards against a value with a line end that adds a field to a request. */
  @Test
  public void shouldWriteEachFieldInOneLine() throws Exception {
    CompletableFuture<List<String>> received = new CompletableFuture<>();
    RawServer.Script script =
        socket -> {
          byte[] request = socket.getInputStream().readNBytes(36);
          received.complete(new String(request, StandardCharsets.ISO_8859_1).lines().toList());
        };
    try (RawServer server = new RawServer(script)) {
      HttpConnection connection = connect(server);
      HeaderMap fields = new HeaderMap();
      fields.put(Headers.HOST, "h\r\nX-Other: a");
      onIoThread(
          () -> {
            connection.send("GET", "/", fields, new byte[0], new HeadReceiver());
            return null;
          });
      assertThat(received.get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
          .startsWith("GET / HTTP/1.1", "Host: h  X-Other: a");
    }
  }
}
