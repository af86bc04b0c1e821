package org.toucansaddle.daemon.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.internal.IoThreads;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** Tests of {@link PacedHttpListener}. */
public class PacedHttpListenerTest {

  private static final int MAX_ARRIVED = 5;
  private static final int CONNECTIONS = 30;
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  private final XnioWorker worker = IoThreads.start(1);
  private final List<Socket> callers = new ArrayList<>();

  @AfterMethod(alwaysRun = true)
  public void closeCallers() throws IOException {
    for (Socket caller : callers) {
      caller.close();
    }
    worker.shutdownNow();
  }

  /** Guards against new connections that are closed and leave no trace in logs and metrics. */
  @Test
  public void shouldCountConnectionsThatItClosesBecauseTooManyWait() throws Exception {
    Queue<StreamConnection> arrived = connectCallers();
    try (PacedHttpListener listener =
        new PacedHttpListener(
            ANY_PORT,
            HttpServerExchange::endExchange,
            worker,
            new DefaultByteBufferPool(true, 1_024),
            OptionMap.EMPTY,
            MAX_ARRIVED)) {
      worker.getIoThread().execute(() -> listener.takeOver(arrived::poll));
      int answered = 0;
      for (Socket caller : callers) {
        answered += isAnswered(caller) ? 1 : 0;
      }
      assertThat(answered).isEqualTo(MAX_ARRIVED);
      assertThat(listener.rejectedCount()).isEqualTo(CONNECTIONS - MAX_ARRIVED);
    }
  }

  /** Connects callers at a server of the test, so that all of them arrive at the same time. */
  private Queue<StreamConnection> connectCallers() throws Exception {
    Queue<StreamConnection> arrived = new ConcurrentLinkedQueue<>();
    AcceptingChannel<StreamConnection> server =
        worker.createStreamConnectionServer(
            ANY_PORT, channel -> acceptAll(channel, arrived), OptionMap.EMPTY);
    server.resumeAccepts();
    InetSocketAddress address = server.getLocalAddress(InetSocketAddress.class);
    for (int i = 0; i < CONNECTIONS; i++) {
      Socket caller = new Socket(address.getAddress(), address.getPort());
      caller.setSoTimeout(TIMEOUT_MILLIS);
      callers.add(caller);
    }
    long startNanos = System.nanoTime();
    while (arrived.size() < CONNECTIONS) {
      assertThat(System.nanoTime() - startNanos)
          .isLessThan(TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS));
      Thread.sleep(10);
    }
    IoUtils.safeClose(server);
    return arrived;
  }

  private static void acceptAll(
      AcceptingChannel<StreamConnection> channel, Queue<StreamConnection> arrived) {
    try {
      for (StreamConnection next = channel.accept(); next != null; next = channel.accept()) {
        arrived.add(next);
      }
    } catch (IOException e) {
      throw new IllegalStateException("A connection of the test could not be accepted.", e);
    }
  }

  /** Sends a request; returns whether a response begins, rather than the connection closing. */
  private static boolean isAnswered(Socket caller) throws IOException {
    try {
      byte[] request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
      caller.getOutputStream().write(request);
      return caller.getInputStream().read() >= 0;
    } catch (SocketException e) {
      return false;
    }
  }
}
