package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.usage.RawCaller.RawResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/** Usage tests of requests that arrive late in the grace period of a planned stop. */
public class PlannedStopUsageTest {

  /** Time after the signal up to which a request may be cut at the end of the grace period. */
  private static final int LAST_CUT_MILLIS = 3_000;

  private final Set<String> executedIds = ConcurrentHashMap.newKeySet();
  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;

  @BeforeMethod
  public void startGateway() throws Exception {
    gateway = new LocalGateway();
    gateway.awaitServing();
    upstreams = new ScriptedUpstreams(gateway, 2, this::answer);
    LocalGateway.await(() -> isServed("warm"));
  }

  @AfterMethod(alwaysRun = true)
  public void stopGateway() throws Exception {
    upstreams.close();
    gateway.close();
  }

  private void answer(Exchange exchange) throws IOException {
    executedIds.add(exchange.header("X-Request-Id"));
    exchange.writeAnswer(200, "answer");
  }

  private boolean isServed(String id) {
    try (KeptConnection connection = new KeptConnection(gateway.callerAddress(1))) {
      connection.send(KeptConnection.get("/once/x", id));
      return connection.receive().status() == 200;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Guards against a request whose head came in time and whose last byte came late: it was passed
   * on and cut at the end of the grace period.
   */
  @Test
  public void shouldRefuseRequestWhoseBodyEndsLateInTheGracePeriod() throws Exception {
    try (KeptConnection late = new KeptConnection(gateway.callerAddress(1))) {
      late.send(KeptConnection.postHead("/once/x", "late", 4) + "ab");
      Thread stop = new Thread(gateway.router(1)::shutDown);
      stop.start();
      LocalGateway.await(() -> !isServed("probe"));
      late.send("cd");
      RawResponse response = late.receive();
      assertThat(response.status()).isEqualTo(503);
      assertThat(response.body()).contains("\"type\":\"stopping\"", "\"run\":\"not-run\"");
      assertThat(executedIds).doesNotContain("late");
      stop.join();
    }
  }

  /**
   * The router may close an idle connection before it reads the request, which then does not run.
   */
  private static void sendUnlessClosed(KeptConnection connection, String id) {
    try {
      connection.send(KeptConnection.get("/once/x", id));
      assertThat(connection.receive().status()).isEqualTo(503);
    } catch (IOException closed) {
      assertThat(closed).isInstanceOf(IOException.class);
    }
  }

  /**
   * Guards against a request that is sent just after the time up to which one may be cut, is passed
   * on by a router that noticed the signal late, and is cut.
   */
  @Test
  public void shouldRefuseRequestsBeforeTheTimeUpToWhichTheyMayBeCut() throws Exception {
    int latenessMillis = 400;
    try (KeptConnection kept = new KeptConnection(gateway.callerAddress(1))) {
      kept.send(KeptConnection.get("/once/x", "before"));
      assertThat(kept.receive().status()).isEqualTo(200);
      Thread stop = new Thread(gateway.router(1)::shutDown);
      stop.start();
      TimeUnit.MILLISECONDS.sleep(LAST_CUT_MILLIS - latenessMillis);
      sendUnlessClosed(kept, "after");
      stop.join();
      assertThat(executedIds).doesNotContain("after");
    }
  }
}
