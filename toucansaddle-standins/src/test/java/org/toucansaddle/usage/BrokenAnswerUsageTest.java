package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.usage.RawCaller.RawResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/**
 * Usage tests of upstreams whose answers are no valid HTTP responses (RFC 9110, RFC 9112).
 *
 * <p>A path {@code /ROUTE/ANSWER/DELIVERY/NUMBER} names the answer and how it is written. Each
 * answer is sealed and names its request.
 */
public class BrokenAnswerUsageTest extends ScriptedGatewayFixture {

  private static final List<String> ROUTES = List.of("once", "repeatable", "stream-once", "stream");

  private static final String EVENT = "id: 1\ndata: a\n\n";
  private static final String BODY = EVENT + "id: 2\ndata: b\n\n";
  private static final String LENGTH = "Content-Length: " + BODY.length();
  private static final String CHUNKED = "Transfer-Encoding: chunked";
  private static final String CHUNKS =
      KeptConnection.chunk(EVENT) + KeptConnection.chunk(BODY.substring(EVENT.length()));
  private static final String LAST_CHUNK = KeptConnection.chunk("");
  private static final String OK = "HTTP/1.1 200 OK";
  private static final String NO_CONTENT = "HTTP/1.1 204 No Content";
  private static final String SEAL = "X-Answer-Seal: seal";

  private static final Map<String, Answer> BROKEN_HEADS = new LinkedHashMap<>();
  private static final Map<String, Answer> BROKEN_CHUNKS = new LinkedHashMap<>();
  private static final Map<String, Answer> SOUND_ANSWERS = new LinkedHashMap<>();

  /** Bytes of an answer, without the field that names its request. */
  private record Answer(String statusLine, String fields, String content) {

    String bytes(String requestId) {
      String id = "X-Request-Id: " + requestId + "\r\n";
      return statusLine + "\r\n" + SEAL + "\r\n" + id + fields + "\r\n\r\n" + content;
    }
  }

  static {
    addStatusLines();
    addLengths();
    addCodings();
    addFieldLines();
    addChunks();
    addSoundAnswers();
    addInterimResponses();
  }

  private static void addStatusLines() {
    for (String status : List.of("000", "099", "101", "600", "999")) {
      brokenHead("status-" + status, "HTTP/1.1 " + status + " Status", LENGTH, BODY);
    }
    brokenHead("status-of-two-digits", "HTTP/1.1 20 OK", LENGTH, BODY);
    brokenHead("status-of-four-digits", "HTTP/1.1 2000 OK", LENGTH, BODY);
    brokenHead("status-that-is-no-number", "HTTP/1.1 2x0 OK", LENGTH, BODY);
    brokenHead("status-with-sign", "HTTP/1.1 +20 OK", LENGTH, BODY);
    brokenHead("status-after-two-blanks", "HTTP/1.1  200 OK", LENGTH, BODY);
    brokenHead("version-0.9", "HTTP/0.9 200 OK", LENGTH, BODY);
    brokenHead("version-2.0", "HTTP/2.0 200 OK", LENGTH, BODY);
    brokenHead("version-misspelt", "HTTQ/1.1 200 OK", LENGTH, BODY);
    brokenHead("control-byte-in-reason", "HTTP/1.1 200 O\u0001K", LENGTH, BODY);
  }

  private static void addLengths() {
    for (String value : List.of("+30", "-30", "", "3O", "0x1e", "30;", "3 0", "30.0")) {
      brokenHead("length-" + value.hashCode(), OK, "Content-Length: " + value, BODY);
    }
    brokenHead("length-beyond-64-bits", OK, "Content-Length: 18446744073709551646", BODY);
    brokenHead("length-of-no-content", NO_CONTENT, LENGTH, BODY);
    brokenHead("two-lengths", OK, "Content-Length: 5\r\n" + LENGTH, BODY);
    brokenHead("two-lengths-reversed", OK, LENGTH + "\r\nContent-Length: 5", BODY);
    brokenHead("two-lengths-in-one-line", OK, LENGTH + ", 5", BODY);
    sound("same-length-twice-in-one-line", OK, LENGTH + ", " + BODY.length(), BODY);
  }

  private static void addCodings() {
    for (String coding : List.of("chunke", "xchunked", "gzip", "chunked, gzip", "gzip, chunked")) {
      String field = "Transfer-Encoding: " + coding;
      brokenHead("coding-" + coding.hashCode(), OK, field, CHUNKS + LAST_CHUNK);
    }
    brokenHead("length-and-coding", OK, LENGTH + "\r\n" + CHUNKED, CHUNKS + LAST_CHUNK);
    brokenHead("coding-of-no-content", NO_CONTENT, CHUNKED, CHUNKS + LAST_CHUNK);
    brokenHead("coding-without-name", OK, "Transfer-Encoding:", CHUNKS + LAST_CHUNK);
    brokenHead("coding-with-parameter", OK, CHUNKED + ";q=1", CHUNKS + LAST_CHUNK);
    brokenHead("two-codings", OK, CHUNKED + "\r\n" + CHUNKED, CHUNKS + LAST_CHUNK);
    brokenHead("coding-in-version-1.0", "HTTP/1.0 200 OK", CHUNKED, CHUNKS + LAST_CHUNK);
  }

  private static void addFieldLines() {
    brokenHead("line-without-colon", OK, "no field\r\n" + LENGTH, BODY);
    brokenHead("line-without-name", OK, ": value\r\n" + LENGTH, BODY);
    brokenHead("length-without-colon", OK, LENGTH.replace(":", ""), BODY);
    brokenHead("id-of-another-request-too", OK, "X-Request-Id: other\r\n" + LENGTH, BODY);
    brokenHead("folded-line", OK, "X-Field: a\r\n b\r\n" + LENGTH, BODY);
    brokenHead("line-that-starts-with-blank", OK, " X-Field: a\r\n" + LENGTH, BODY);
    brokenHead("bare-carriage-return", OK, "X-Field: a\rb\r\n" + LENGTH, BODY);
    for (char bad : "\u0000\u0001\t\u000b\u001f \u007f(),/;<=>?@[]{}\"\\".toCharArray()) {
      String code = Integer.toHexString(bad);
      brokenHead("name-with-" + code, OK, "X-Fi" + bad + "eld: a\r\n" + LENGTH, BODY);
      brokenHead("name-that-ends-with-" + code, OK, "X-Field" + bad + ": a\r\n" + LENGTH, BODY);
      brokenHead("length-named-with-" + code, OK, LENGTH.replace(":", bad + ":"), BODY);
    }
    for (char bad : "\u0000\u0001\u000b\u001f\u007f".toCharArray()) {
      String code = Integer.toHexString(bad);
      brokenHead("value-with-" + code, OK, "X-Field: a" + bad + "b\r\n" + LENGTH, BODY);
    }
  }

  private static void addChunks() {
    brokenChunks("chunk-without-line-end", "f\r\n" + EVENT + LAST_CHUNK);
    brokenChunks("chunk-with-other-end", "f\r\n" + EVENT + "xx" + LAST_CHUNK);
    brokenChunks("chunk-longer-than-its-size", "5\r\n" + EVENT + "\r\n" + LAST_CHUNK);
    brokenChunks("chunk-end-without-line-feed", "f\r\n" + EVENT + "\rx" + LAST_CHUNK);
    for (String size : List.of("zz", "-5", "+f", " f", "f ", "", "0xf", "f\u0000", "f\t", "f x")) {
      brokenChunks("size-" + size.hashCode(), size + "\r\n" + EVENT + "\r\n" + LAST_CHUNK);
    }
    brokenChunks("size-beyond-64-bits", "1000000000000000f\r\n" + EVENT + "\r\n" + LAST_CHUNK);
    brokenChunks("size-without-carriage-return", "f\n" + EVENT + "\r\n" + LAST_CHUNK);
    brokenChunks("trailer-that-is-no-field", CHUNKS + "0\r\nno field\r\n\r\n");
    brokenChunks("trailer-with-control-byte", CHUNKS + "0\r\nX-Field: \u0000");
  }

  private static void addSoundAnswers() {
    sound("length", OK, LENGTH, BODY);
    sound("chunks", OK, CHUNKED, CHUNKS + LAST_CHUNK);
    sound("coding-in-capitals", OK, "Transfer-Encoding: CHUNKED", CHUNKS + LAST_CHUNK);
    sound("same-length-twice", OK, LENGTH + "\r\n" + LENGTH, BODY);
    sound("length-with-zeros", OK, "Content-Length: 0" + BODY.length(), BODY);
    sound("length-between-blanks", OK, "Content-Length: \t" + BODY.length() + " \t", BODY);
    sound("length-without-blank", OK, "content-length:" + BODY.length(), BODY);
    sound("no-reason", "HTTP/1.1 200 ", LENGTH, BODY);
    sound("field-without-value", OK, "X-Field:\r\n" + LENGTH, BODY);
    sound("all-bytes-of-a-name", OK, "!#$%&'*+-.^_`|~09azAZ: a\r\n" + LENGTH, BODY);
    String secondChunk = KeptConnection.chunk(BODY.substring(EVENT.length()));
    sound(
        "chunk-extension",
        OK,
        CHUNKED,
        "0F;a=\"b\"\r\n" + EVENT + "\r\n" + secondChunk + "00;c\r\n\r\n");
    sound("trailer", OK, CHUNKED, CHUNKS + "0\r\nX-Trailer: a\r\n\r\n");
  }

  private static void addInterimResponses() {
    sound("interim", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + OK, LENGTH, BODY);
    sound("interim-unknown", "HTTP/1.1 199 Interim\r\n\r\n" + OK, LENGTH, BODY);
  }

  private static void brokenHead(String name, String statusLine, String fields, String content) {
    BROKEN_HEADS.put(name, new Answer(statusLine, fields, content));
  }

  private static void brokenChunks(String name, String content) {
    BROKEN_CHUNKS.put(name, new Answer(OK, CHUNKED, content));
  }

  private static void sound(String name, String statusLine, String fields, String content) {
    SOUND_ANSWERS.put(name, new Answer(statusLine, fields, content));
  }

  private final Set<String> answered = ConcurrentHashMap.newKeySet();
  private final AtomicInteger requests = new AtomicInteger();

  public BrokenAnswerUsageTest() {
    super(4);
  }

  @Override
  boolean isServing() {
    return isServing("/once/length/whole");
  }

  /** Sends a request that is equal to no other, so that no other adds to its strikes. */
  private RawResponse getUnique(String path) {
    String unique = path + "/" + requests.incrementAndGet();
    try {
      RawResponse response = RawCaller.get(gateway().callerAddress(0), unique, "1.1");
      assertThat(answered).as("requests that an upstream answered").contains(unique);
      return response;
    } catch (IOException e) {
      throw new AssertionError("no response to " + unique, e);
    }
  }

  @Override
  void answer(Exchange exchange) throws IOException {
    answered.add(exchange.path());
    String[] path = exchange.path().split("/");
    Answer answer = BROKEN_HEADS.getOrDefault(path[2], BROKEN_CHUNKS.get(path[2]));
    String bytes =
        (answer == null ? SOUND_ANSWERS.get(path[2]) : answer)
            .bytes(exchange.header("X-Request-Id"));
    int step = path[3].equals("bytes") ? 1 : bytes.length();
    for (int i = 0; i < bytes.length(); i += step) {
      exchange.write(bytes.substring(i, i + step));
    }
    if (answer != null) {
      exchange.awaitClosed();
    }
  }

  private static Object[][] cases(Set<String> answers) {
    List<Object[]> cases = new ArrayList<>();
    for (String route : ROUTES) {
      for (String answer : answers) {
        cases.add(new Object[] {route, answer});
      }
    }
    return cases.toArray(Object[][]::new);
  }

  @DataProvider
  public Object[][] brokenHeads() {
    return cases(BROKEN_HEADS.keySet());
  }

  @DataProvider
  public Object[][] brokenChunks() {
    return cases(BROKEN_CHUNKS.keySet());
  }

  @DataProvider
  public Object[][] soundAnswers() {
    return cases(SOUND_ANSWERS.keySet());
  }

  /** Guards against a head that is no head of a response and reaches the caller as an answer. */
  @Test(dataProvider = "brokenHeads")
  public void shouldNotRelayAnswerWhoseHeadIsBroken(String route, String answer) {
    for (String delivery : List.of("whole", "bytes")) {
      RawResponse response = getUnique("/" + route + "/" + answer + "/" + delivery);
      assertThat(response.status()).as("%s: %s", delivery, response).isEqualTo(502);
      assertThat(response.complete()).as("%s: %s", delivery, response).isTrue();
      assertThat(response.body()).contains("\"run\":\"unknown\"");
      assertThat(response.headers()).doesNotContainKey("X-Answer-Seal");
    }
  }

  /** Guards against chunks that cannot be read and reach the caller as a complete answer. */
  @Test(dataProvider = "brokenChunks")
  public void shouldNotEndAnswerAsCompleteWhoseChunksAreBroken(String route, String answer) {
    for (String delivery : List.of("whole", "bytes")) {
      RawResponse response = getUnique("/" + route + "/" + answer + "/" + delivery);
      assertThat(response.complete() && response.status() != 502)
          .as("%s: %s", delivery, response)
          .isFalse();
      assertThat(response.status()).as("%s: %s", delivery, response).isIn(200, 502);
    }
  }

  /** Guards against a valid answer in an unusual form that is taken for a broken one. */
  @Test(dataProvider = "soundAnswers")
  public void shouldRelaySoundAnswer(String route, String answer) {
    for (String delivery : List.of("whole", "bytes")) {
      RawResponse response = getUnique("/" + route + "/" + answer + "/" + delivery);
      assertThat(response.status()).as("%s: %s", delivery, response).isEqualTo(200);
      assertThat(response.complete()).as("%s: %s", delivery, response).isTrue();
      assertThat(response.body()).isEqualTo(BODY);
    }
  }
}
