package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.usage.RawCaller.RawResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/** Usage tests of a router with little memory whose callers or upstreams make it hold much. */
public class HeldBytesUsageTest {

  private static final int HEAP_MEGABYTES = 48;
  private static final int MAX_DESCRIPTORS = 1_024;
  private static final int CALLERS = 40;
  private static final int BODY_BYTES = 4 << 20;
  private static final String PART = "x".repeat(64 << 10);
  private static final int PARTS = BODY_BYTES / PART.length();

  private static final int READ_PAUSE_MILLIS = 100;
  private static final int SLOW_BODIES = 10;
  private static final int SLOW_BODY_BYTES = 512 << 10;

  /** Sends of one request at most, and the time after which the next one follows. */
  private static final int MAX_SENDS = 5;

  private static final long MAX_UNREAD_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final List<KeptConnection> connections = new ArrayList<>();
  private final Set<String> begun = ConcurrentHashMap.newKeySet();
  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;
  private RouterProcess router;

  @BeforeClass
  public void startGateway() throws Exception {
    gateway = new LocalGateway();
    gateway.awaitServing();
    upstreams = new ScriptedUpstreams(gateway, 2, this::answer);
  }

  @BeforeMethod
  public void startRouter() throws Exception {
    router = RouterProcess.start(gateway, MAX_DESCRIPTORS, HEAP_MEGABYTES);
    LocalGateway.await(this::isServing);
  }

  @AfterMethod(alwaysRun = true)
  public void stopRouter() throws IOException {
    for (KeptConnection connection : connections) {
      connection.close();
    }
    connections.clear();
    router.close();
  }

  @AfterClass(alwaysRun = true)
  public void stopGateway() throws Exception {
    upstreams.close();
    gateway.close();
  }

  private void answer(Exchange exchange) throws IOException {
    begun.add(exchange.header("X-Request-Id"));
    if (exchange.path().endsWith("/long")) {
      exchange.writeHead(200, "Content-Length: " + BODY_BYTES);
      for (int part = 0; part < PARTS; part++) {
        exchange.write(PART);
      }
    } else {
      exchange.writeAnswer(200, Integer.toString(exchange.body().length()));
    }
  }

  private boolean isServing() {
    try {
      return RawCaller.get(router.callerAddress(), "/once/x", "1.1").status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  private KeptConnection connect() throws IOException {
    KeptConnection connection = new KeptConnection(router.callerAddress());
    connections.add(connection);
    return connection;
  }

  /**
   * Sends a request of a caller that reads nothing, and again on a new connection while no upstream
   * begins it: a router refuses connections that wait too long to be read.
   */
  private void sendUntilBegun(String id) throws Exception {
    for (int attempt = 1; attempt <= MAX_SENDS; attempt++) {
      String attemptId = id + "-" + attempt;
      KeptConnection connection = connect();
      connection.send(KeptConnection.get("/once/long", attemptId));
      long until = System.nanoTime() + MAX_UNREAD_NANOS;
      while (!begun.contains(attemptId) && System.nanoTime() < until) {
        Thread.sleep(1);
      }
      if (begun.contains(attemptId)) {
        return;
      }
      connection.close();
      connections.remove(connection);
    }
    throw new AssertionError("request %s was not begun in %d sends".formatted(id, MAX_SENDS));
  }

  private void assertInMemory() throws IOException {
    assertThat(RawCaller.get(router.callerAddress(), "/once/x", "1.1").status()).isEqualTo(200);
    assertThat(Files.readString(router.logFile())).doesNotContain("OutOfMemory");
  }

  /** Guards against bodies that are each within the limit and together exceed the memory. */
  @Test(timeOut = 60_000)
  public void shouldServeOthersWhileUnfinishedBodiesExceedMemory() throws Exception {
    for (int caller = 0; caller < CALLERS; caller++) {
      connect().send(KeptConnection.postHead("/once/body", "r" + caller, BODY_BYTES));
    }
    for (int part = 0; part < PARTS - 1; part++) {
      for (KeptConnection connection : connections) {
        connection.send(PART);
      }
    }
    assertInMemory();
    int answered = 0;
    for (KeptConnection connection : connections) {
      connection.send(PART);
      RawResponse response = connection.receive();
      if (response.status() == 200) {
        answered++;
        assertThat(response.body()).isEqualTo(Integer.toString(BODY_BYTES));
      } else {
        assertThat(response.status()).isEqualTo(503);
        assertThat(response.body()).contains("\"not-run\"");
      }
    }
    assertThat(answered).as("requests answered").isPositive();
    assertInMemory();
  }

  /** Guards against responses that are read from upstreams faster than callers take them. */
  @Test(timeOut = 60_000)
  public void shouldHoldLittleForManyCallersThatReadNothing() throws Exception {
    for (int caller = 0; caller < CALLERS; caller++) {
      sendUntilBegun("r" + caller);
    }
    Thread.sleep(1_000);
    assertInMemory();
    for (KeptConnection connection : connections) {
      RawResponse response = connection.receive();
      assertThat(response.status()).as("%s", response.body()).isEqualTo(200);
      assertThat(response.complete()).isTrue();
      assertThat(response.body()).hasSize(BODY_BYTES);
    }
  }

  /** Guards against bodies that wait for upstreams and take the memory of other requests. */
  @Test(timeOut = 60_000)
  public void shouldDeliverBodiesToUpstreamsThatReadSlowly() throws Exception {
    upstreams.readSlowly(READ_PAUSE_MILLIS);
    try {
      for (int caller = 0; caller < SLOW_BODIES; caller++) {
        connect().send(KeptConnection.postHead("/once/body", "r" + caller, SLOW_BODY_BYTES));
        for (int sent = 0; sent < SLOW_BODY_BYTES; sent += PART.length()) {
          connections.get(caller).send(PART);
        }
      }
      assertInMemory();
      for (KeptConnection connection : connections) {
        RawResponse response = connection.receive();
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body()).isEqualTo(Integer.toString(SLOW_BODY_BYTES));
      }
    } finally {
      upstreams.readSlowly(0);
    }
  }
}
