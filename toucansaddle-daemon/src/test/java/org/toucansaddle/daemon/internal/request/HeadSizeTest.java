package org.toucansaddle.daemon.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the size of request heads, on a server with the options of a router. */
public class HeadSizeTest {

  private static final String FIELDS = "Host: h\r\nConnection: close\r\n";
  private static final int FIELD_BYTES = 20;

  private Undertow server;

  @BeforeClass
  public void startServer() {
    server =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setIoThreads(1)
            .setWorkerThreads(1)
            .setServerOption(UndertowOptions.DECODE_URL, false)
            .setServerOption(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
            .setHandler(
                exchange ->
                    exchange.getResponseSender().send(Integer.toString(HeadSize.of(exchange))))
            .build();
    server.start();
  }

  @AfterClass(alwaysRun = true)
  public void stopServer() {
    server.stop();
  }

  @DataProvider
  public Object[][] targets() {
    return new Object[][] {
      {"/x", 2},
      {"/x?a=1", 5},
      {"/x??a=1", 6},
      {"/x???a=1", 7},
      {"/x??a=1&?a=2", 11},
      {"/x??", 3},
      {"/x?a=1?", 6},
    };
  }

  /** Guards against a question mark with which a query begins and that is not counted. */
  @Test(dataProvider = "targets")
  public void shouldCountAllBytesButSeparators(String target, int expectedBytes)
      throws IOException {
    InetSocketAddress address = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      String head = "GET " + target + " HTTP/1.1\r\n" + FIELDS + "\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      String response =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      String body = response.substring(response.indexOf("\r\n\r\n") + 4);
      assertThat(Integer.parseInt(body)).isEqualTo(expectedBytes + FIELD_BYTES);
    }
  }
}
