package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.usage.RawCaller.RawResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/** Usage tests of callers that send a request before they have the response to the one before. */
public class PipelineUsageTest extends ScriptedGatewayFixture {

  private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
  private static final String LAST_EVENT = "id: 2\ndata: b\n\n";

  /** Time for which an upstream waits before its last event, below that of a stalled stream. */
  private static final int MAX_WAIT_MILLIS = 1_000;

  /** Released by a caller that has received the first event. */
  private final Semaphore firstEventReceived = new Semaphore(0);

  private final BlockingQueue<Boolean> receivedInTime = new LinkedBlockingQueue<>();

  public PipelineUsageTest() {
    super(1);
  }

  @Override
  boolean isServing() {
    return isServing(0) && isServing(1);
  }

  @BeforeMethod
  public void clearEvents() {
    firstEventReceived.drainPermits();
    receivedInTime.clear();
  }

  private boolean isServing(int router) {
    try {
      return RawCaller.get(gateway().callerAddress(router), "/once/x", "1.1").status() == 200;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  void answer(Exchange exchange) throws IOException {
    if (exchange.path().startsWith("/once/")) {
      exchange.writeAnswer(200, "answer");
      return;
    }
    if (exchange.path().startsWith("/slow/")) {
      sleep(Integer.parseInt(exchange.path().split("/")[2]));
      exchange.writeAnswer(200, "slow answer");
      return;
    }
    exchange.writeHead(200, "Transfer-Encoding: chunked", "Content-Type: text/event-stream");
    exchange.writeChunk(FIRST_EVENT);
    try {
      receivedInTime.add(firstEventReceived.tryAcquire(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    exchange.writeChunk(LAST_EVENT);
    exchange.writeChunk("");
  }

  private static void sleep(int millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @DataProvider
  public Object[][] streamRoutes() {
    return new Object[][] {{"/stream/x"}, {"/stream-once/x"}};
  }

  /** Guards against events that are held back until the response ends. */
  @Test(dataProvider = "streamRoutes")
  public void shouldDeliverEventsWhileNextRequestWaits(String path) throws Exception {
    try (KeptConnection connection = new KeptConnection(gateway().callerAddress(0))) {
      connection.send(KeptConnection.get(path, "r1") + KeptConnection.get("/once/x", "r2"));
      connection.receiveUntil(FIRST_EVENT);
      firstEventReceived.release();
      connection.receiveUntil("\r\n0\r\n\r\n");
      assertThat(connection.receive().body()).isEqualTo("answer");
      assertThat(receivedInTime.take()).as("first event received before the last").isTrue();
    }
  }

  @Test(dataProvider = "streamRoutes")
  public void shouldDeliverEventsAfterPipelinedRequests(String path) throws Exception {
    try (KeptConnection connection = new KeptConnection(gateway().callerAddress(0))) {
      connection.send(KeptConnection.get("/once/x", "r3") + KeptConnection.get("/once/x", "r4"));
      assertThat(connection.receive().body()).isEqualTo("answer");
      assertThat(connection.receive().body()).isEqualTo("answer");
      connection.send(KeptConnection.get(path, "r5"));
      connection.receiveUntil(FIRST_EVENT);
      firstEventReceived.release();
      connection.receiveUntil("\r\n0\r\n\r\n");
      assertThat(receivedInTime.take()).as("first event received before the last").isTrue();
    }
  }

  /** Guards against a request that was read with the one before and is dropped at a shutdown. */
  @Test
  public void shouldAnswerPipelinedRequestsDuringShutdown() throws Exception {
    int shutdownMillis = 5_000;
    String address = gateway().callerAddress(1);
    try (KeptConnection underWay = new KeptConnection(address);
        KeptConnection accepted = new KeptConnection(address);
        KeptConnection refused = new KeptConnection(address)) {
      underWay.send(KeptConnection.get("/slow/" + shutdownMillis, "r10"));
      Thread shutdown = new Thread(gateway().router(1)::shutDown);
      shutdown.start();
      LocalGateway.await(() -> !gateway().router(1).isReady());
      accepted.send(KeptConnection.get("/slow/500", "r11") + KeptConnection.get("/once/x", "r12"));
      assertThat(accepted.receive().body()).isEqualTo("slow answer");
      RawResponse last = accepted.receive();
      assertThat(last.body()).isEqualTo("answer");
      assertThat(last.headers()).containsEntry("Connection", "close");
      LocalGateway.await(() -> isRefusing(address));
      refused.send(KeptConnection.get("/once/x", "r13") + KeptConnection.get("/once/x", "r14"));
      assertThat(refused.receive().status()).isEqualTo(503);
      assertThat(refused.receive().status()).isEqualTo(503);
      assertThat(underWay.receive().body()).isEqualTo("slow answer");
      shutdown.join();
    }
  }

  private static boolean isRefusing(String address) {
    try {
      return RawCaller.get(address, "/once/x", "1.1").status() == 503;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
