package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.HeaderNames;

/** Tests of {@link HeaderCodec}. */
public class HeaderCodecTest {

  private final HeaderCodec codec = new HeaderCodec(HeaderNames.defaults());

  private static HttpServerExchange exchange() {
    return new HttpServerExchange(null).setRequestURI("/stream/x");
  }

  @Test
  public void shouldReadWhichStreamARequestTakesUp() {
    HttpServerExchange exchange = exchange();
    exchange.getRequestHeaders().put(new HttpString("x-resumes"), " r1 ");
    exchange.getRequestHeaders().put(new HttpString("last-event-id"), "12");

    RequestHead head = codec.readHead(exchange);
    assertThat(head.resumes()).isEqualTo("r1");
    assertThat(head.lastEventId()).isEqualTo("12");
  }

  @Test
  public void shouldReadRequestThatTakesUpNoStream() {
    RequestHead head = codec.readHead(exchange());
    assertThat(head.resumes()).isEmpty();
    assertThat(head.lastEventId()).isEmpty();
  }

  @Test
  public void shouldForwardWhichStreamARequestTakesUp() {
    HeaderMap received = new HeaderMap();
    received.put(new HttpString("X-Resumes"), "r1");
    received.put(new HttpString("Last-Event-Id"), "12");
    HeaderMap forwarded = new HeaderMap();
    codec.copyRequestHeaders(received, forwarded);
    assertThat(forwarded.getFirst("X-Resumes")).isEqualTo("r1");
    assertThat(forwarded.getFirst("Last-Event-Id")).isEqualTo("12");
  }

  /** Guards against an upstream's id that ends its field early and adds another one. */
  @Test
  public void shouldSendIdOfUpstreamInOneField() {
    HeaderMap headers = new HeaderMap();
    codec.setUpstreamHeaders(headers, "u\u010D\u010AX-Injected: 1", "", 100);
    String value = headers.getFirst("X-Expect-Upstream");
    assertThat(value.chars()).allMatch(c -> c >= ' ' && c <= 0xFF);
    assertThat(FieldText.decode(value)).isEqualTo("u\u010D\u010AX-Injected: 1");
  }
}
