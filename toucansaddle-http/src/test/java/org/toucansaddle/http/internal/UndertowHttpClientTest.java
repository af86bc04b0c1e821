package org.toucansaddle.http.internal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import io.undertow.Undertow;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpRequest;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Tests of {@link UndertowHttpClient}. */
public class UndertowHttpClientTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  /** A daemon that shuts down may stop the I/O threads before it closes the client. */
  @Test
  public void shouldCloseIdleConnectionsAfterWorkerIsShutDown() throws Exception {
    XnioWorker worker = newWorker();
    Undertow server =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setHandler(exchange -> exchange.getResponseSender().send("ok"))
            .build();
    server.start();
    try {
      int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
      HttpClient client = HttpClient.createWithWorker(worker, HttpClientSettings.defaults());
      String text = client.send(HttpRequest.get("127.0.0.1:" + port, "/"), TIMEOUT).get().text();
      assertThat(text).isEqualTo("ok");

      worker.shutdownNow();
      assertThat(worker.awaitTermination(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();

      assertThatCode(client::close).doesNotThrowAnyException();
    } finally {
      server.stop();
    }
  }

  private static XnioWorker newWorker() throws IOException {
    return Xnio.getInstance(UndertowHttpClientTest.class.getClassLoader())
        .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
  }
}
