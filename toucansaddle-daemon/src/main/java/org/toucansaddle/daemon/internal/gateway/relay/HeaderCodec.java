package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.toucansaddle.daemon.gateway.HeaderNames;
import org.toucansaddle.daemon.internal.gateway.relay.RequestHead.PromptPart;
import org.toucansaddle.daemon.internal.request.ReceivedQuery;

/** Reads and writes header fields of requests and responses. Immutable and thread-safe. */
public final class HeaderCodec {

  /** Status of an upstream that is not the expected instance (RFC 9110). */
  static final int MISDIRECTED_REQUEST = 421;

  private static final Set<HttpString> HOP_BY_HOP =
      Set.of(
          Headers.CONNECTION,
          Headers.KEEP_ALIVE,
          Headers.TRANSFER_ENCODING,
          Headers.CONTENT_LENGTH,
          Headers.TE,
          Headers.TRAILER,
          Headers.UPGRADE,
          Headers.EXPECT,
          Headers.PROXY_AUTHENTICATE,
          Headers.PROXY_AUTHORIZATION,
          new HttpString("Proxy-Connection"));

  /** Field with the id of the last event that was received of a stream (HTML Living Standard). */
  static final HttpString LAST_EVENT_ID = new HttpString("Last-Event-Id");

  private static final String EVENT_STREAM = "text/event-stream";
  private static final int MAX_DEADLINE_MILLIS = 24 * 3_600 * 1_000;
  private static final int MAX_TOKENS = 100_000_000;
  private static final int MAX_PROMPT_PARTS = 64;

  private final HttpString requestId;
  private final HttpString deadline;
  private final HttpString credential;
  private final HttpString account;
  private final HttpString expectedUpstream;
  private final HttpString seal;
  private final HttpString notExecuted;
  private final HttpString tokenCounts;
  private final HttpString promptParts;
  private final HttpString lengthHint;
  private final HttpString resumes;
  private final HttpString requestLimit;
  private final HttpString leaving;
  private final HttpString load;
  private final Set<HttpString> withheldFromUpstreams;

  /** Creates a codec for a set of names. */
  public HeaderCodec(HeaderNames names) {
    this.requestId = new HttpString(names.requestId());
    this.deadline = new HttpString(names.deadline());
    this.credential = new HttpString(names.credential());
    this.account = new HttpString(names.account());
    this.expectedUpstream = new HttpString(names.expectedUpstream());
    this.seal = new HttpString(names.seal());
    this.notExecuted = new HttpString(names.notExecuted());
    this.tokenCounts = new HttpString(names.tokens());
    this.promptParts = new HttpString(names.prefix());
    this.lengthHint = new HttpString(names.lengthHint());
    this.resumes = new HttpString(names.resumes());
    this.requestLimit = new HttpString(names.requestLimit());
    this.leaving = new HttpString(names.leaving());
    this.load = new HttpString(names.load());
    Set<HttpString> withheldHeaders = new HashSet<>(HOP_BY_HOP);
    withheldHeaders.add(credential);
    withheldHeaders.add(account);
    withheldHeaders.add(expectedUpstream);
    withheldHeaders.add(deadline);
    for (String name : names.reservedFields().split(",")) {
      if (!name.isBlank()) {
        withheldHeaders.add(new HttpString(name.trim()));
      }
    }
    this.withheldFromUpstreams = Set.copyOf(withheldHeaders);
  }

  /** Reads the head of a request. */
  public RequestHead readHead(HttpServerExchange exchange) {
    HeaderMap headers = exchange.getRequestHeaders();
    String counts = firstValue(headers, tokenCounts);
    int comma = counts.indexOf(',');
    return new RequestHead(
        firstValue(headers, requestId),
        exchange.getRequestMethod().toString(),
        hostOf(firstValue(headers, Headers.HOST)),
        pathOf(exchange.getRequestURI()),
        ReceivedQuery.of(exchange),
        parseNumber(firstValue(headers, deadline), MAX_DEADLINE_MILLIS),
        FieldText.decode(firstValue(headers, credential)),
        comma < 0 ? 0 : parseNumber(counts.substring(0, comma), MAX_TOKENS),
        comma < 0 ? 0 : parseNumber(counts.substring(comma + 1), MAX_TOKENS),
        parseNumber(firstValue(headers, lengthHint), MAX_TOKENS),
        firstValue(headers, resumes),
        firstValue(headers, LAST_EVENT_ID),
        parsePromptParts(firstValue(headers, promptParts)));
  }

  private static String firstValue(HeaderMap headers, HttpString name) {
    String value = headers.getFirst(name);
    return value == null ? "" : value.trim();
  }

  static String hostOf(String header) {
    int colon = header.lastIndexOf(':');
    String host = colon > header.lastIndexOf(']') ? header.substring(0, colon) : header;
    return host.toLowerCase(Locale.ROOT);
  }

  private static String pathOf(String uri) {
    int scheme = uri.startsWith("/") ? -1 : uri.indexOf("://");
    if (scheme < 0) {
      return uri;
    }
    int slash = uri.indexOf('/', scheme + 3);
    return slash < 0 ? "/" : uri.substring(slash);
  }

  /** Parses a number sent by a caller, limited to a maximum; 0 if it is not a number. */
  private static int parseNumber(String text, int max) {
    long value = 0;
    String digits = text.trim();
    for (int i = 0; i < digits.length(); i++) {
      char c = digits.charAt(i);
      if (c < '0' || c > '9') {
        return c == '.' && i > 0 ? (int) value : 0;
      }
      value = Math.min(max, value * 10 + c - '0');
    }
    return (int) value;
  }

  private static List<PromptPart> parsePromptParts(String text) {
    List<PromptPart> parts = new ArrayList<>();
    for (int start = 0; start < text.length() && parts.size() < MAX_PROMPT_PARTS; ) {
      int end = text.indexOf(',', start);
      end = end < 0 ? text.length() : end;
      int colon = text.indexOf(':', start);
      if (colon > start && colon < end) {
        String id = text.substring(start, colon).trim();
        parts.add(new PromptPart(id, parseNumber(text.substring(colon + 1, end), MAX_TOKENS)));
      }
      start = end + 1;
    }
    return parts;
  }

  /** Copies the request headers that are forwarded to upstreams. */
  void copyRequestHeaders(HeaderMap from, HeaderMap to) {
    copyExcept(from, to, withheldFromUpstreams);
  }

  /** Copies the response headers that are forwarded to callers. */
  void copyResponseHeaders(HeaderMap from, HeaderMap to) {
    copyExcept(from, to, HOP_BY_HOP);
  }

  private static void copyExcept(HeaderMap from, HeaderMap to, Set<HttpString> excluded) {
    List<String> options = connectionOptions(from);
    for (HeaderValues values : from) {
      HttpString name = values.getHeaderName();
      if (!excluded.contains(name) && !containsIgnoringCase(options, name.toString())) {
        to.putAll(name, values);
      }
    }
  }

  private static List<String> connectionOptions(HeaderMap headers) {
    HeaderValues connection = headers.get(Headers.CONNECTION);
    if (connection == null) {
      return List.of();
    }
    List<String> names = new ArrayList<>();
    for (String value : connection) {
      for (String name : value.split(",")) {
        names.add(name.trim());
      }
    }
    return names;
  }

  private static boolean containsIgnoringCase(List<String> names, String name) {
    return names.stream().anyMatch(name::equalsIgnoreCase);
  }

  /** Sets the expected upstream, the remaining time and the client account, if any. */
  void setUpstreamHeaders(
      HeaderMap headers, String upstreamId, String clientAccount, long remainingMillis) {
    headers.put(expectedUpstream, FieldText.encode(upstreamId));
    headers.put(deadline, Long.toString(remainingMillis));
    if (!clientAccount.isEmpty()) {
      headers.put(account, FieldText.encode(clientAccount));
    }
  }

  /** Returns whether an upstream reported that it did not run the request. */
  boolean isNotExecuted(int status, HeaderMap headers) {
    return status == MISDIRECTED_REQUEST || headers.contains(notExecuted);
  }

  /** Returns whether a response carries no id of another request. */
  boolean matchesRequestId(String id, HeaderMap headers) {
    HeaderValues responseIds = headers.get(requestId);
    return responseIds == null || responseIds.stream().allMatch(id::equals);
  }

  /** Returns whether a response carries the id of the request; none if the request has none. */
  boolean namesRequest(String id, HeaderMap headers) {
    return firstValue(headers, requestId).equals(id);
  }

  /** Reads what an upstream says of itself in the head of a response. */
  UpstreamNotice readNotice(int status, HeaderMap headers) {
    String retryAfter =
        status == StatusCodes.SERVICE_UNAVAILABLE ? headers.getFirst(Headers.RETRY_AFTER) : null;
    return UpstreamNotice.parse(
        headers.getFirst(requestLimit), headers.getFirst(leaving), retryAfter);
  }

  /** Returns the text in which an upstream reports its load; null if it reports none. */
  String loadText(HeaderMap headers) {
    return headers.getFirst(load);
  }

  /** Returns whether the content of a response is an event stream or of an unknown type. */
  static boolean mayBeEventStream(HeaderMap headers) {
    String type = headers.getFirst(Headers.CONTENT_TYPE);
    if (type == null) {
      return true;
    }
    int parameters = type.indexOf(';');
    String mediaType = parameters < 0 ? type : type.substring(0, parameters);
    return mediaType.trim().equalsIgnoreCase(EVENT_STREAM);
  }

  /** Returns whether a response may continue an event stream that another one began. */
  static boolean continuesEventStream(int status, HeaderMap headers) {
    return status == StatusCodes.OK && mayBeEventStream(headers);
  }

  /** Returns whether a response carries a request id. */
  boolean hasRequestId(HeaderMap headers) {
    return headers.contains(requestId);
  }

  /** Returns whether a response carries the seal of an upstream. */
  boolean hasSeal(HeaderMap headers) {
    return headers.contains(seal);
  }
}
