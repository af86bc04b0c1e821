package org.toucansaddle.http.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletionException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpException;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;

/**
 * Seeded tests of responses in which a few bytes are changed, removed or added at random.
 *
 * <p>A client has to accept exactly what {@link StrictResponse} reads.
 */
public class SpoiltResponseTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int RESPONSES = 1_500;
  private static final int MAX_CHANGES = 2;
  private static final String BODY = "id: 1\ndata: a\n\n";
  private static final String FIELDS = "X-Seal: seal\r\nContent-Type: text/event-stream\r\n";
  private static final String SOUND = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  private static final List<String> RESPONSES_TO_SPOIL =
      List.of(
          "HTTP/1.1 200 OK\r\n" + FIELDS + "Content-Length: 15\r\n\r\n" + BODY,
          "HTTP/1.1 200 OK\r\n" + FIELDS + "Content-Length: 15, 15\r\n\r\n" + BODY,
          "HTTP/1.1 200 OK\r\n" + FIELDS + "\r\n" + BODY,
          "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n"
              + BODY,
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nid: 1\r\nA;x=\"y\"\r\n"
              + "\ndata: a\n\n\r\n0\r\nX-Trailer: a\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + BODY + "\r\n0\r\n\r\n");

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{11, false}, {12, false}, {13, true}, {14, true}};
  }

  /** Guards against a response with a few spoilt bytes that is taken for a complete other one. */
  @Test(dataProvider = "seeds")
  public void shouldAcceptExactlyWhatIsValid(int seed, boolean kept) throws Exception {
    Random random = new Random(seed);
    String[] current = new String[1];
    long splits = random.nextLong();
    try (RawServer server = new RawServer(socket -> serve(socket, current, kept, splits));
        HttpClient client = HttpClient.create(HttpClientSettings.defaults().withIoThreads(1))) {
      HttpRequest request = HttpRequest.get(server.address(), "/");
      int accepted = 0;
      for (int i = 0; i < RESPONSES; i++) {
        current[0] = spoil(RESPONSES_TO_SPOIL.get(i % RESPONSES_TO_SPOIL.size()), random);
        if (kept) {
          assertThat(client.send(request.withNewConnection(), TIMEOUT).join().text())
              .isEqualTo("ok");
        }
        Optional<StrictResponse> expected = StrictResponse.parse(current[0]);
        accepted += expected.isPresent() ? 1 : 0;
        HttpRequest sent = kept ? request : request.withNewConnection();
        assertThat(receive(client, sent))
            .as("seed %d, response %d: %s", seed, i, current[0])
            .isEqualTo(expected);
      }
      assertThat(accepted).as("valid responses").isBetween(RESPONSES / 10, RESPONSES * 9 / 10);
      assertThat(server.connections()).isEqualTo(RESPONSES);
    }
  }

  private static Optional<StrictResponse> receive(HttpClient client, HttpRequest request) {
    try {
      HttpResponse response = client.send(request, TIMEOUT).join();
      String body = new String(response.body(), StandardCharsets.ISO_8859_1);
      return Optional.of(new StrictResponse(response.status(), body));
    } catch (CompletionException e) {
      assertThat(e.getCause()).isInstanceOf(HttpException.class);
      assertThat(((HttpException) e.getCause()).kind())
          .isIn(HttpException.Kind.MALFORMED, HttpException.Kind.BROKEN);
      return Optional.empty();
    }
  }

  /** Writes the current response in pieces, if wanted as the second one of its connection. */
  private static void serve(Socket socket, String[] current, boolean kept, long splits)
      throws IOException {
    if (kept && RawServer.readHead(socket.getInputStream())) {
      socket.getOutputStream().write(SOUND.getBytes(StandardCharsets.ISO_8859_1));
    }
    if (!RawServer.readHead(socket.getInputStream())) {
      return;
    }
    byte[] bytes = current[0].getBytes(StandardCharsets.ISO_8859_1);
    Random random = new Random(splits + bytes.length);
    int maxPiece = random.nextBoolean() ? bytes.length : 20;
    for (int i = 0; i < bytes.length; ) {
      int piece = Math.min(bytes.length - i, 1 + random.nextInt(maxPiece));
      socket.getOutputStream().write(bytes, i, piece);
      i += piece;
    }
  }

  private static String spoil(String response, Random random) {
    StringBuilder spoilt = new StringBuilder(response);
    int changes = 1 + random.nextInt(MAX_CHANGES);
    for (int i = 0; i < changes; i++) {
      int place = random.nextInt(spoilt.length());
      char next = randomByte(random);
      switch (random.nextInt(3)) {
        case 0 -> spoilt.setCharAt(place, next);
        case 1 -> spoilt.insert(place, next);
        default -> spoilt.deleteCharAt(place);
      }
    }
    return spoilt.toString();
  }

  /** Returns any byte, but most often one that has a meaning somewhere in a response. */
  private static char randomByte(Random random) {
    String meaningful = "\r\n\t\u0000 :;,+-./0123456789aAfFxH";
    return random.nextInt(3) == 0
        ? (char) random.nextInt(256)
        : meaningful.charAt(random.nextInt(meaningful.length()));
  }
}
