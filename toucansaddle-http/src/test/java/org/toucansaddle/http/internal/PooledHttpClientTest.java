package org.toucansaddle.http.internal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.undertow.Undertow;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.Test;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpException;
import org.toucansaddle.http.HttpExchange;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpStreamHandler;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Tests of {@link PooledHttpClient}. */
public class PooledHttpClientTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private static final int SENDERS = 6;
  private static final int REQUESTS = 2_000;

  private static final long PROCESSING_NANOS = TimeUnit.MICROSECONDS.toNanos(100);

  /** One I/O thread and responses of up to 1 MB. */
  private static final HttpClientSettings SMALL_RESPONSES =
      new HttpClientSettings(
          1, Duration.ofSeconds(1), Duration.ofSeconds(20), Duration.ofMinutes(5), 1 << 20);

  /** A daemon that shuts down may stop the I/O threads before it closes the client. */
  @Test
  public void shouldCloseIdleConnectionsAfterWorkerIsShutDown() throws Exception {
    XnioWorker worker = newWorker();
    Undertow server = startServer();
    try {
      HttpClient client = HttpClient.createWithWorker(worker, HttpClientSettings.defaults());
      String text = client.send(request(server), TIMEOUT).get().text();
      assertThat(text).isEqualTo("ok");

      worker.shutdownNow();
      assertThat(worker.awaitTermination(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();

      assertThatCode(client::close).doesNotThrowAnyException();
    } finally {
      server.stop();
    }
  }

  /** Guards against a response without end that is read on although nobody waits for it. */
  @Test
  public void shouldCloseConnectionOfResponseThatIsTooLong() throws Exception {
    CountDownLatch closedConnection = new CountDownLatch(1);
    try (RawServer server = new RawServer(socket -> writeWithoutEnd(socket, closedConnection));
        HttpClient client = HttpClient.create(SMALL_RESPONSES)) {
      assertThatThrownBy(() -> client.send(HttpRequest.get(server.address(), "/"), TIMEOUT).join())
          .hasMessageContaining("longer than");
      assertThat(await(closedConnection)).isTrue();
    }
  }

  /** Guards against a response without end that keeps the I/O thread from all other exchanges. */
  @Test
  public void shouldServeOtherExchangesWhileResponsesHaveNoEnd() throws Exception {
    CountDownLatch closedConnection = new CountDownLatch(1);
    Undertow server = startServer();
    try (RawServer endless = new RawServer(socket -> writeWithoutEnd(socket, closedConnection));
        HttpClient client = HttpClient.create(SMALL_RESPONSES)) {
      List<HttpExchange> exchanges = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        exchanges.add(client.stream(HttpRequest.get(endless.address(), "/"), new SlowHandler()));
      }
      for (int i = 0; i < 20; i++) {
        assertThat(client.send(request(server), TIMEOUT).get().text()).isEqualTo("ok");
      }
      exchanges.forEach(HttpExchange::cancel);
      assertThat(await(closedConnection)).isTrue();
    } finally {
      server.stop();
    }
  }

  /** Guards against a cancelled request that a silent server works on for seconds. */
  @Test
  public void shouldCloseConnectionToSilentServerWhenExchangeIsCancelled() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        HttpClient client = HttpClient.create(HttpClientSettings.defaults())) {
      HttpRequest request = HttpRequest.get("127.0.0.1:" + listener.getLocalPort(), "/");
      HttpExchange exchange = client.stream(request, new SlowHandler());
      try (Socket socket = listener.accept()) {
        socket.setSoTimeout((int) TIMEOUT.toMillis());
        RawServer.readHead(socket.getInputStream());
        exchange.cancel();
        assertThat(socket.getInputStream().read()).isNegative();
      }
    }
  }

  /** Guards against a request that is lost since its connection is closed as an idle one. */
  @Test
  public void shouldAnswerAllRequestsWhileIdleConnectionsAreClosed() throws Exception {
    AtomicBoolean done = new AtomicBoolean();
    ExecutorService threads = Executors.newFixedThreadPool(SENDERS + 1);
    Undertow server = startServer();
    try (HttpClient client = HttpClient.create(HttpClientSettings.defaults().withIoThreads(2))) {
      HttpRequest request = request(server);
      CompletableFuture<Void> closing =
          CompletableFuture.runAsync(
              () -> closeIdleConnections(client, request.target(), done), threads);
      List<CompletableFuture<Void>> senders = new ArrayList<>();
      for (int i = 0; i < SENDERS; i++) {
        senders.add(CompletableFuture.runAsync(() -> sendMany(client, request), threads));
      }
      for (CompletableFuture<Void> sender : senders) {
        assertThatCode(sender::join).doesNotThrowAnyException();
      }
      done.set(true);
      closing.join();
    } finally {
      threads.shutdownNow();
      server.stop();
    }
  }

  private static void closeIdleConnections(HttpClient client, String target, AtomicBoolean done) {
    while (!done.get() && !Thread.interrupted()) {
      client.closeIdleConnections(target);
    }
  }

  private static void sendMany(HttpClient client, HttpRequest request) {
    for (int i = 0; i < REQUESTS; i++) {
      assertThat(client.send(request, TIMEOUT).join().text()).isEqualTo("ok");
    }
  }

  /** Guards against a response that is taken for the one that only the first of its ids names. */
  @Test
  public void shouldReturnAllValuesOfField() throws Exception {
    String head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: a\r\nx-id: b\r\n\r\n";
    RawServer.Script script =
        socket -> {
          RawServer.readHead(socket.getInputStream());
          socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        };
    try (RawServer server = new RawServer(script);
        HttpClient client = HttpClient.create(HttpClientSettings.defaults())) {
      HttpRequest request = HttpRequest.get(server.address(), "/");
      assertThat(client.send(request, TIMEOUT).get().header("X-Id")).contains("a, b");
    }
  }

  /** Takes longer to process content than a server takes to send it, and keeps nothing of it. */
  private static final class SlowHandler implements HttpStreamHandler {
    @Override
    public void onHead(int status, Map<String, String> headers) {}

    @Override
    public void onData(ByteBuffer data) {
      LockSupport.parkNanos(PROCESSING_NANOS);
    }

    @Override
    public void onEnd() {}

    @Override
    public void onFailure(HttpException failure) {}
  }

  /** Writes a response without end until its connection is closed. */
  private static void writeWithoutEnd(Socket socket, CountDownLatch closedConnection) {
    byte[] content = new byte[64 * 1024];
    try {
      OutputStream out = socket.getOutputStream();
      out.write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      while (true) {
        out.write(content);
      }
    } catch (IOException e) {
      closedConnection.countDown();
    }
  }

  private static boolean await(CountDownLatch closedConnection) throws InterruptedException {
    return closedConnection.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  private static Undertow startServer() {
    Undertow server =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setHandler(exchange -> exchange.getResponseSender().send("ok"))
            .build();
    server.start();
    return server;
  }

  private static HttpRequest request(Undertow server) {
    int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    return HttpRequest.get("127.0.0.1:" + port, "/");
  }

  private static XnioWorker newWorker() throws IOException {
    return Xnio.getInstance(PooledHttpClientTest.class.getClassLoader())
        .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
  }
}
