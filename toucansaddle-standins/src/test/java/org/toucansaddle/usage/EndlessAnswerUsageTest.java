package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/** Usage tests of upstreams that send bytes without end until their connection is closed. */
public class EndlessAnswerUsageTest {

  /** Timeout of all routes of a {@link LocalGateway} but for the time to end a response. */
  private static final long TIMEOUT_MILLIS = 8_000;

  /** Time after the timeout of its route within which a caller has its final answer. */
  private static final long END_MILLIS = 500;

  private static final int READ_BYTES = 64 * 1024;
  private static final String FILLER = "y".repeat(16 * 1024);

  private final ExecutorService callers = Executors.newCachedThreadPool();
  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;

  @BeforeMethod
  public void startGateway() throws Exception {
    gateway = new LocalGateway();
    gateway.awaitServing();
    upstreams = new ScriptedUpstreams(gateway, 2, EndlessAnswerUsageTest::answer);
    LocalGateway.await(() -> isServed("/once/warm"));
  }

  @AfterMethod(alwaysRun = true)
  public void stopGateway() throws Exception {
    upstreams.close();
    gateway.close();
  }

  private static void answer(Exchange exchange) throws IOException {
    if (exchange.path().contains("/endless-event")) {
      exchange.writeHead(200);
      exchange.write("data: ");
      writeWithoutEnd(exchange, FILLER);
    } else if (exchange.path().contains("/endless-line")) {
      exchange.writeHead(200);
      writeWithoutEnd(exchange, "data: y\n".repeat(2_000));
    } else if (exchange.path().contains("/repeated-event")) {
      exchange.writeHead(200);
      writeWithoutEnd(exchange, "id: 1\ndata: y\n\n".repeat(1_000));
    } else if (exchange.path().contains("/endless-head")) {
      exchange.write("HTTP/1.1 200 OK\r\n");
      writeWithoutEnd(exchange, "X-Filler: " + FILLER + "\r\n");
    } else if (exchange.path().contains("/lines-of-junk")) {
      writeWithoutEnd(exchange, "no answer\r\n".repeat(1_000));
    } else if (exchange.path().contains("/junk")) {
      writeWithoutEnd(exchange, FILLER);
    } else {
      exchange.writeAnswer(200, "answer");
    }
  }

  private static void writeWithoutEnd(Exchange exchange, String text) throws IOException {
    while (true) {
      exchange.write(text);
    }
  }

  private boolean isServed(String path) {
    try {
      return RawCaller.get(gateway.callerAddress(0), path, "1.1").status() == 200;
    } catch (IOException e) {
      throw new AssertionError("no response to " + path, e);
    }
  }

  /** Reads a response without keeping it; returns after how many milliseconds it ended. */
  private long millisUntilEnd(String path) throws IOException {
    long startNanos = System.nanoTime();
    String[] hostAndPort = gateway.callerAddress(0).split(":");
    try (Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]))) {
      socket.setSoTimeout((int) (2 * TIMEOUT_MILLIS));
      String head =
          "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: r1\r\nX-Api-Key: %s\r\n"
              .formatted(path, LocalGateway.HOST, LocalGateway.API_KEY);
      String rest = "Connection: close\r\n\r\n";
      socket.getOutputStream().write((head + rest).getBytes(StandardCharsets.US_ASCII));
      byte[] buffer = new byte[READ_BYTES];
      int count = 0;
      while (count >= 0) {
        count = socket.getInputStream().read(buffer);
      }
    } catch (SocketTimeoutException e) {
      throw new AssertionError("no end of the response to " + path, e);
    } catch (IOException e) {
      // A reset connection ends the response as well.
      return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  @DataProvider
  public Object[][] endlessAnswers() {
    return new Object[][] {
      {"/stream/endless-event", 1},
      {"/stream/endless-line", 1},
      {"/stream/repeated-event", 1},
      {"/stream-once/endless-event", 1},
      {"/stream-once/repeated-event", 1},
      {"/once/endless-event", 1},
      {"/repeatable/endless-event", 4},
      {"/stream/endless-event", 40},
      {"/once/endless-head", 4},
      {"/once/junk", 4},
      {"/once/lines-of-junk", 4},
    };
  }

  /**
   * Guards against an answer without end that keeps the I/O thread of a router: other callers wait,
   * and the timeout of the route does not apply.
   */
  @Test(dataProvider = "endlessAnswers")
  public void shouldServeOthersAndEndAnswerWithoutEndInTime(String path, int count)
      throws Exception {
    List<Future<Long>> endless = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Callable<Long> call = millisUntilEnd(path, i);
      endless.add(callers.submit(call));
    }
    while (endless.stream().anyMatch(end -> !end.isDone())) {
      long startNanos = System.nanoTime();
      assertThat(isServed("/once/other")).isTrue();
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      assertThat(millis).as("another caller's wait").isLessThan(LocalGateway.TARGET_MILLIS);
      Thread.sleep(100);
    }
    for (Future<Long> end : endless) {
      assertThat(end.get()).isLessThan(TIMEOUT_MILLIS + END_MILLIS);
    }
  }

  private Callable<Long> millisUntilEnd(String path, int number) {
    return () -> millisUntilEnd(path + "/" + number);
  }
}
