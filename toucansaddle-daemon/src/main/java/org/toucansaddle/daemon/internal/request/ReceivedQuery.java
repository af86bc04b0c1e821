package org.toucansaddle.daemon.internal.request;

import io.undertow.server.HttpServerExchange;
import java.util.Arrays;
import java.util.Deque;

/**
 * The query of a request as the caller sent it.
 *
 * <p>The server drops a question mark with which a query begins, but keeps it in the name of the
 * first parameter. Names must not be decoded by the server. A query of nothing is not told from
 * none. Stateless and thread-safe.
 */
public final class ReceivedQuery {

  private static final String MARK = "?";

  private ReceivedQuery() {}

  /** Returns the query without the question mark before it; empty if there is none. */
  public static String of(HttpServerExchange exchange) {
    String query = exchange.getQueryString();
    int firstEnd = query.indexOf('&');
    String marked = MARK + nameOf(firstEnd < 0 ? query : query.substring(0, firstEnd));
    Deque<String> received = exchange.getQueryParameters().get(marked);
    if (received == null) {
      return query;
    }
    long kept = Arrays.stream(query.split("&", -1)).filter(p -> nameOf(p).equals(marked)).count();
    return received.size() > kept ? MARK + query : query;
  }

  private static String nameOf(String parameter) {
    int end = parameter.indexOf('=');
    return end < 0 ? parameter : parameter.substring(0, end);
  }
}
