package org.toucansaddle.daemon.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link SseParser}. */
public class SseParserTest {

  private static final int MAX_PARTS = 10_000;

  private final List<String> events = new ArrayList<>();

  private boolean accept(SseParser parser, String text) {
    return parser.accept(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
  }

  private SseParser createParser() {
    events.clear();
    return new SseParser(
        (id, data) -> events.add(id + "|" + new String(data, StandardCharsets.UTF_8)));
  }

  @Test
  public void shouldParseEventsInAnyChunks() {
    SseParser parser = createParser();
    assertThat(accept(parser, "id: 1\ndata: a\r\n\r\nid: 2\nda")).isTrue();
    assertThat(accept(parser, "ta: b\ndata: c\n\n")).isTrue();
    assertThat(events).containsExactly("1|a", "2|bc");
  }

  @DataProvider
  static Object[][] endlessEvents() {
    return new Object[][] {{"y".repeat(1_000)}, {"data: " + "y".repeat(1_000) + "\n"}};
  }

  /** Guards against an event without end that fills the memory, in one line or in many. */
  @Test(dataProvider = "endlessEvents")
  public void shouldRejectEventWithoutEnd(String part) {
    SseParser parser = createParser();
    int parts = 0;
    while (accept(parser, part)) {
      assertThat(++parts).as("parts of 1,000 bytes accepted").isLessThan(MAX_PARTS);
    }
    assertThat(events).isEmpty();
  }
}
