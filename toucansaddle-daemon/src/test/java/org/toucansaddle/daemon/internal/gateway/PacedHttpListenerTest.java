package org.toucansaddle.daemon.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.internal.IoThreads;
import org.xnio.OptionMap;
import org.xnio.XnioWorker;

/** Tests of {@link PacedHttpListener}. */
public class PacedHttpListenerTest {

  private static final int MAX_ARRIVED = 5;
  private static final int CONNECTIONS = 30;

  private final CountDownLatch handling = new CountDownLatch(1);
  private final CountDownLatch connected = new CountDownLatch(1);

  /** Guards against new connections that are closed and leave no trace in logs and metrics. */
  @Test
  public void shouldCountConnectionsThatItClosesBecauseTooManyWait() throws Exception {
    XnioWorker worker = IoThreads.start(1);
    List<Socket> sockets = new ArrayList<>();
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
    HttpHandler blocksIoThread =
        exchange -> {
          handling.countDown();
          connected.await(10, TimeUnit.SECONDS);
        };
    try (PacedHttpListener listener =
        new PacedHttpListener(
            address,
            blocksIoThread,
            worker,
            new DefaultByteBufferPool(true, 1_024),
            OptionMap.EMPTY,
            MAX_ARRIVED)) {
      sockets.add(new Socket(address.getAddress(), address.getPort()));
      byte[] request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
      sockets.get(0).getOutputStream().write(request);
      assertThat(handling.await(10, TimeUnit.SECONDS)).isTrue();
      for (int i = 0; i < CONNECTIONS; i++) {
        sockets.add(new Socket(address.getAddress(), address.getPort()));
      }
      connected.countDown();
      awaitRejections(listener);
      assertThat(listener.rejectedCount()).isEqualTo(CONNECTIONS - MAX_ARRIVED);
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
      worker.shutdownNow();
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private static void awaitRejections(PacedHttpListener listener) throws InterruptedException {
    long startNanos = System.nanoTime();
    while (listener.rejectedCount() < CONNECTIONS - MAX_ARRIVED
        && System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(10)) {
      Thread.sleep(10);
    }
  }
}
