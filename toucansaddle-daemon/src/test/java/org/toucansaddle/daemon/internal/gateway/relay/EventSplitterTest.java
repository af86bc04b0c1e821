package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.internal.gateway.relay.EventSplitter.Fault;
import org.toucansaddle.http.ResponseFraming;

/** Tests of {@link EventSplitter}. */
public class EventSplitterTest {

  private EventSplitter splitter;

  @BeforeMethod
  public void createSplitter() {
    splitter = new EventSplitter();
  }

  private static String event(int id) {
    return "id: " + id + "\ndata: text " + id + "\n\n";
  }

  private String accept(String text) {
    ByteBuffer out = splitter.accept(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    return StandardCharsets.UTF_8.decode(out).toString();
  }

  @Test
  public void shouldBufferIncompleteEvent() {
    assertThat(accept(event(1) + "id: 2\nda")).isEqualTo(event(1));
    assertThat(splitter.lastEventId()).isEqualTo(1);
    assertThat(accept("ta: text 2\n\n")).isEqualTo(event(2));
  }

  @Test
  public void shouldDropDuplicateEventsAfterResume() {
    accept(event(1) + event(2) + "id: 3\nda");
    splitter.prepareResume();
    assertThat(accept(event(2) + event(3))).isEqualTo(event(3));
    assertThat(splitter.fault()).isEmpty();
  }

  @Test
  public void shouldDetectMissingEvent() {
    accept(event(1));
    assertThat(accept(event(3) + event(4))).isEmpty();
    assertThat(splitter.fault()).contains(Fault.GAP);

    splitter.prepareResume();
    assertThat(splitter.fault()).isEmpty();
    assertThat(accept(event(2) + event(3))).isEqualTo(event(2) + event(3));
  }

  /** Guards against an event without end that fills the memory of a router. */
  @Test
  public void shouldGiveUpEventThatIsTooLong() {
    String part = "data: " + "y".repeat(EventSplitter.MAX_EVENT_BYTES / 4 - 7) + "\n";
    for (int i = 0; i < 4; i++) {
      assertThat(accept(part)).isEmpty();
      assertThat(splitter.fault()).isEmpty();
    }
    assertThat(accept("data: y\n\n")).isNotEmpty();
    for (int i = 0; i < 5; i++) {
      assertThat(accept(part)).isEmpty();
    }
    assertThat(splitter.fault()).contains(Fault.TOO_LONG);

    splitter.prepareResume();
    assertThat(splitter.fault()).isEmpty();
    assertThat(accept(event(1))).isEqualTo(event(1));
  }

  @Test
  public void shouldForwardCommentsAtOnceAndWhatFollowsTheLastEventAtTheEnd() {
    assertThat(accept(": keep-alive\n\n")).isEqualTo(": keep-alive\n\n");
    assertThat(accept(event(1) + ": end")).isEqualTo(event(1));
    assertThat(splitter.findTruncation(ResponseFraming.CONNECTION_END)).isEmpty();
    assertThat(StandardCharsets.UTF_8.decode(splitter.drain()).toString()).isEqualTo(": end");
  }

  @Test
  public void shouldForwardSameBytesForAnyChunking() {
    StringBuilder all = new StringBuilder();
    for (int id = 1; id <= 40; id++) {
      all.append(event(id));
    }
    for (long seed = 1; seed <= 50; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      EventSplitter other = new EventSplitter();
      StringBuilder out = new StringBuilder();
      for (int from = 0; from < all.length(); ) {
        int to = Math.min(all.length(), from + 1 + random.nextInt(60));
        byte[] chunk = all.substring(from, to).getBytes(StandardCharsets.UTF_8);
        out.append(StandardCharsets.UTF_8.decode(other.accept(ByteBuffer.wrap(chunk))));
        from = to;
      }
      assertThat(out.toString()).as("seed %d", seed).isEqualTo(all.toString());
    }
  }
}
