package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.usage.RawCaller.RawResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/**
 * Usage tests of chunks that reach a router together, and of what follows them.
 *
 * <p>A path {@code /ROUTE/SCENARIO/NUMBER} names what the upstream does.
 */
public class GroupedChunksUsageTest extends ScriptedGatewayFixture {

  private static final int PAUSE_MILLIS = 1_500;
  private static final int MAX_DELAY_MILLIS = 750;
  private static final List<String> EVENTS =
      List.of("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n");

  private final AtomicInteger requests = new AtomicInteger();

  public GroupedChunksUsageTest() {
    super(2);
  }

  @Override
  boolean isServing() {
    try {
      return get("once", "together").status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  @Override
  void answer(Exchange exchange) throws IOException {
    exchange.writeHead(200, "Transfer-Encoding: chunked", "Content-Type: text/event-stream");
    switch (exchange.path().split("/")[2]) {
      case "together" -> exchange.write(chunks(EVENTS) + "0\r\n\r\n");
      case "malformed" -> exchange.write(chunks(EVENTS) + "no size\r\n");
      default -> {
        exchange.write(chunks(EVENTS.subList(0, 2)));
        exchange.pause(PAUSE_MILLIS);
        exchange.write(chunks(EVENTS.subList(2, 3)) + "0\r\n\r\n");
      }
    }
  }

  private static String chunks(List<String> contents) {
    StringBuilder text = new StringBuilder();
    for (String content : contents) {
      text.append(Integer.toHexString(content.length())).append("\r\n").append(content);
      text.append("\r\n");
    }
    return text.toString();
  }

  private String path(String route, String scenario) {
    return "/" + route + "/" + scenario + "/" + requests.incrementAndGet();
  }

  private RawResponse get(String route, String scenario) throws IOException {
    return RawCaller.get(gateway().callerAddress(0), path(route, scenario), "1.1");
  }

  /** Waits until the router is no longer behind, as one that is refuses requests. */
  @BeforeMethod
  public void awaitServing() throws InterruptedException {
    LocalGateway.await(this::isServing);
  }

  /** Reads the chunks of a response as they were written, with the last one, which is empty. */
  private List<String> readChunks(String path, List<Long> arrivalNanos) throws IOException {
    String[] hostAndPort = gateway().callerAddress(0).split(":");
    try (Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]))) {
      String head =
          "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: r%d\r\nX-Api-Key: %s\r\n\r\n"
              .formatted(path, LocalGateway.HOST, path.hashCode(), LocalGateway.API_KEY);
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      assertThat(HttpText.readLine(in)).contains(" 200 ");
      HttpText.readFields(in);
      List<String> contents = new ArrayList<>();
      do {
        int length = Integer.parseInt(HttpText.readLine(in), 16);
        contents.add(new String(in.readNBytes(length), StandardCharsets.US_ASCII));
        arrivalNanos.add(System.nanoTime());
        HttpText.readLine(in);
      } while (!contents.get(contents.size() - 1).isEmpty());
      return contents;
    }
  }

  @DataProvider
  public Object[][] routes() {
    return new Object[][] {{"once"}, {"stream-once"}, {"stream"}};
  }

  /** Guards against a write to the caller for each of the chunks that wait at a late router. */
  @Test(dataProvider = "routes")
  public void shouldWriteChunksThatAreThereTogetherAtOnce(String route) throws IOException {
    List<String> chunks = readChunks(path(route, "together"), new ArrayList<>());
    assertThat(chunks).containsExactly(String.join("", EVENTS), "");
  }

  /** Guards against an event that waits in a router for the next one. */
  @Test(dataProvider = "routes")
  public void shouldNotKeepEventsUntilTheNextOneArrives(String route) throws IOException {
    List<Long> arrivalNanos = new ArrayList<>();
    long sentAtNanos = System.nanoTime();
    List<String> chunks = readChunks(path(route, "pause"), arrivalNanos);
    assertThat(String.join("", chunks)).isEqualTo(String.join("", EVENTS));
    assertThat(TimeUnit.NANOSECONDS.toMillis(arrivalNanos.get(0) - sentAtNanos))
        .isLessThan(MAX_DELAY_MILLIS);
  }

  /** Guards against events that are lost since what follows them cannot be read. */
  @Test
  public void shouldDeliverEventsBeforeMalformedChunk() throws IOException {
    RawResponse response = get("stream-once", "malformed");
    assertThat(response.complete()).as("complete: %s", response).isFalse();
    assertThat(response.body()).isEqualTo(String.join("", EVENTS));
  }
}
