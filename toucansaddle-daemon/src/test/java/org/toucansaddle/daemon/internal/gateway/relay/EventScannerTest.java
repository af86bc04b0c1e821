package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.http.ResponseFraming;

/** Tests of {@link EventScanner}. */
public class EventScannerTest {

  @DataProvider
  static Object[][] streams() {
    return new Object[][] {
      {"id: 1\ndata: a\n\n", false},
      {"id: 1\r\ndata: a\r\n\r\n", false},
      {"id: 1\rdata: a\r\r", false},
      {"data: a\n\n\n\n", false},
      {"data: a\n\n: comment", false},
      {"data: a\n\n: comment\n", false},
      {"data: a\n\nd", true},
      {"data: a\n\ndata: b", true},
      {"data: a\n\ndata: b\n", true},
      {"data: a\r\n\r\ndata: b\r\n", true},
      {"data: a\r\rdata: b\r", true},
      {"data: a\n\n: comment\ndata: b\n", true},
      {"data", true},
    };
  }

  /** Guards against a stream that stopped within an event and is taken for complete. */
  @Test(dataProvider = "streams")
  public void shouldTellWhetherStreamEndsWithinAnEvent(String stream, boolean truncated) {
    byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
    for (int split = 0; split <= bytes.length; split++) {
      EventScanner scanner = new EventScanner();
      scan(scanner, ByteBuffer.wrap(bytes, 0, split));
      scan(scanner, ByteBuffer.wrap(bytes, split, bytes.length - split));
      assertThat(scanner.findTruncation(ResponseFraming.CHUNKED).isPresent())
          .as("split after %d bytes", split)
          .isEqualTo(truncated);
    }
  }

  private static List<Integer> scan(EventScanner scanner, ByteBuffer data) {
    List<Integer> ends = new ArrayList<>();
    while (data.hasRemaining()) {
      if (scanner.advanceToEnd(data)) {
        ends.add(data.position());
      }
    }
    return ends;
  }

  @DataProvider
  static Object[][] ends() {
    return new Object[][] {
      {"data: a\n\ndata: b\n\n", List.of(9, 18)},
      {"data: a\r\n\r\ndata: b\r\n\r\n", List.of(11, 22)},
      {"data: a\r\rdata: b\r\r", List.of(9, 18)},
      {"\n\n: c\n\n\ndata: a\n\n", List.of(7, 17)},
    };
  }

  @Test(dataProvider = "ends")
  public void shouldFindEndsOfEventsAndOfComments(String stream, List<Integer> expected) {
    ByteBuffer data = ByteBuffer.wrap(stream.getBytes(StandardCharsets.UTF_8));
    assertThat(scan(new EventScanner(), data)).isEqualTo(expected);
  }

  @Test
  public void shouldNotTakeEndOfConnectionBeforeFirstEventForCompleteStream() {
    EventScanner scanner = new EventScanner();
    assertThat(scanner.findTruncation(ResponseFraming.CONNECTION_END)).isPresent();
    assertThat(scanner.findTruncation(ResponseFraming.CHUNKED)).isEmpty();
    scan(scanner, ByteBuffer.wrap("data: a\n\n".getBytes(StandardCharsets.UTF_8)));
    scanner.reset();
    assertThat(scanner.findTruncation(ResponseFraming.CONNECTION_END)).isEmpty();
  }
}
