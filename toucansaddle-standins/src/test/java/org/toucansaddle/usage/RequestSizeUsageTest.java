package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.CallerLimits;
import org.toucansaddle.usage.RawCaller.RawResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/** Usage tests of requests whose bodies are as long as the configuration allows. */
public class RequestSizeUsageTest extends ScriptedGatewayFixture {

  private static final int MAX_BODY_BYTES = CallerLimits.defaults().maxBodyBytes();
  private static final int CHUNK_BYTES = 16 << 10;

  public RequestSizeUsageTest() {
    super(1);
  }

  @Override
  boolean isServing() {
    return post(1, false).status() == 200;
  }

  @Override
  void answer(Exchange exchange) throws IOException {
    exchange.writeAnswer(200, "" + exchange.body().length());
  }

  /** Sends a request with a body of this size and returns the response. */
  private RawResponse post(int bytes, boolean inChunks) {
    String body = "x".repeat(bytes);
    try (KeptConnection connection = new KeptConnection(gateway().callerAddress(0))) {
      if (inChunks) {
        connection.send(KeptConnection.chunkedPostHead("/once/x", "r1"));
        for (int start = 0; start < bytes; start += CHUNK_BYTES) {
          int end = Math.min(bytes, start + CHUNK_BYTES);
          connection.send(KeptConnection.chunk(body.substring(start, end)));
        }
        connection.send(KeptConnection.chunk(""));
      } else {
        connection.send(KeptConnection.postHead("/once/x", "r1", bytes) + body);
      }
      return connection.receive();
    } catch (IOException e) {
      throw new AssertionError("no response to a body of " + bytes + " bytes", e);
    }
  }

  @DataProvider
  public Object[][] allowedSizes() {
    return new Object[][] {
      {MAX_BODY_BYTES / 4, false},
      {MAX_BODY_BYTES / 4, true},
      {MAX_BODY_BYTES / 2 + 1, false},
      {MAX_BODY_BYTES / 2 + 1, true},
      {MAX_BODY_BYTES, false},
      {MAX_BODY_BYTES, true},
    };
  }

  /** Guards against a smaller limit of the HTTP server, which resets connections. */
  @Test(dataProvider = "allowedSizes")
  public void shouldServeRequestWithBodyWithinLimit(int bytes, boolean inChunks) {
    RawResponse response = post(bytes, inChunks);
    assertThat(response.status()).as("%s", response).isEqualTo(200);
    assertThat(response.body()).isEqualTo("" + bytes);
  }
}
