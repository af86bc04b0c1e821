package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamConnectionPool.Connection;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Selection;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;

/**
 * One upstream's turn at a request: counts its load, sends the request, judges the answer's head.
 *
 * <p>Confined to the call's I/O thread. Its load is counted until {@link #release}, once.
 */
final class CallAttempt implements UpstreamExchange.Listener {

  private static final HttpString LAST_EVENT_ID = new HttpString("Last-Event-Id");

  private final RelayContext context;
  private final RelayedCall call;
  private final HttpServerExchange exchange;
  private final Upstream upstream;
  private final int prefillTokens;
  private final int memoryTokens;
  private final long pendingTokens;
  private final double nominalTokensPerMilli;
  private final double expectedFirstTokenMillis;
  private UpstreamExchange upstreamExchange;
  private StallDetector stallDetector;
  private long sentAtNanos;
  private boolean prefillCounted = true;
  private boolean loadCounted = true;
  private boolean responseAccepted;

  /**
   * Creates an attempt and counts its load.
   *
   * @param nominalSpeed speed of reading that the choice reckoned with, in tokens a millisecond
   */
  CallAttempt(
      RelayContext context,
      RelayedCall call,
      HttpServerExchange exchange,
      Selection choice,
      double nominalSpeed) {
    this.context = context;
    this.call = call;
    this.exchange = exchange;
    this.upstream = choice.upstream();
    this.prefillTokens = choice.prefillTokens();
    this.memoryTokens = prefillTokens + call.head().expectedOutputTokens();
    this.nominalTokensPerMilli = nominalSpeed;
    this.expectedFirstTokenMillis = choice.expectedFirstTokenMillis();
    upstream.begun(prefillTokens, memoryTokens);
    this.pendingTokens = upstream.pendingTokens();
  }

  Upstream upstream() {
    return upstream;
  }

  /** Returns whether the upstream may have got a part of the request. */
  boolean isSent() {
    return upstreamExchange != null;
  }

  /** Sends the request on a connection. */
  void start(Connection connection, byte[] body) {
    sentAtNanos = context.nowNanos();
    upstreamExchange = new UpstreamExchange(connection, body, this);
    stallDetector =
        new StallDetector(context, call, this, exchange.getIoThread(), expectedFirstTokenMillis);
    upstreamExchange.start(buildRequest(body));
  }

  private ClientRequest buildRequest(byte[] body) {
    ClientRequest request = new ClientRequest();
    String query = exchange.getQueryString();
    String path = call.head().path() + (query.isEmpty() ? "" : "?" + query);
    request.setMethod(exchange.getRequestMethod()).setPath(path);
    HeaderMap headers = request.getRequestHeaders();
    context.codec().copyRequestHeaders(exchange.getRequestHeaders(), headers);
    long left = Math.max(1, call.remainingMillis());
    context.codec().setUpstreamHeaders(headers, upstream.id(), call.account(), left);
    if (body.length > 0 || exchange.getRequestHeaders().contains(Headers.CONTENT_LENGTH)) {
      headers.put(Headers.CONTENT_LENGTH, body.length);
    }
    if (call.lastEventId() >= 0) {
      headers.put(LAST_EVENT_ID, Long.toString(call.lastEventId()));
    }
    return request;
  }

  /** The upstream does not answer, or stopped in the middle of a stream. */
  void failStalled(long millis) {
    fail("silent", "silent for " + millis + " ms");
  }

  /** Goes on reading after the caller had no room. */
  void resume() {
    if (upstreamExchange != null) {
      upstreamExchange.resume();
    }
  }

  /** Gives the attempt up, which tells the upstream to stop. */
  void cancel() {
    releaseLoad();
    if (upstreamExchange != null) {
      upstreamExchange.cancel();
    }
  }

  /** Counts no load for the attempt any more. */
  void releaseLoad() {
    releasePrefillLoad();
    if (loadCounted) {
      loadCounted = false;
      upstream.ended(memoryTokens);
    }
    if (stallDetector != null) {
      stallDetector.close();
    }
  }

  private void releasePrefillLoad() {
    if (prefillCounted) {
      prefillCounted = false;
      upstream.promptRead(prefillTokens);
    }
  }

  @Override
  public void onResponseHead(ClientResponse response) {
    HeaderMap headers = response.getResponseHeaders();
    int status = response.getResponseCode();
    upstream.reached();
    if (!context.codec().matchesRequestId(call.head().requestId(), headers)) {
      fail("crossed", "the answer belongs to another request");
    } else if (context.codec().isNotExecuted(status, headers)) {
      cancel();
      call.onNotExecuted(this, status);
    } else if (!isFromUpstream(status, headers)) {
      fail("unsealed", "status " + status + " is not the upstream's own answer");
    } else if (call.isResponding() && !isSuccess(status)) {
      fail("status-" + status, "the upstream did not go on with the stream");
    } else if (status >= 500 && call.mayRetryFailure()) {
      fail("status-" + status, "the upstream failed");
    } else {
      responseAccepted = true;
      if (!call.route().isStream()) {
        releasePrefillLoad();
        stallDetector.onResponseStarted();
      }
      call.onResponseHead(status, headers);
    }
  }

  static boolean isSuccess(int status) {
    return status >= 200 && status < 300;
  }

  /** A success, or a status that promises that nothing ran, must prove where it comes from. */
  private boolean isFromUpstream(int status, HeaderMap headers) {
    boolean promises = status == 408 || status == 429 || status == 503;
    boolean sealed = context.codec().hasSeal(headers) && context.codec().hasRequestId(headers);
    return !headers.contains(Headers.CONTENT_ENCODING)
        && (sealed || !(isSuccess(status) || promises));
  }

  private void fail(String outcome, String why) {
    cancel();
    call.onAttemptLost(this, outcome, why);
  }

  @Override
  public boolean onResponseData(ByteBuffer data) {
    if (!call.isCurrent(this)) {
      return false;
    }
    stallDetector.onData();
    if (prefillCounted && prefillTokens > 0) {
      long millis = TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - sentAtNanos);
      context.estimator(call.service()).addSample(pendingTokens, nominalTokensPerMilli, millis);
    }
    releasePrefillLoad();
    return call.onResponseData(this, data);
  }

  @Override
  public void onDataDrained() {
    call.flush();
  }

  @Override
  public void onResponseComplete() {
    if (call.isCurrent(this)) {
      releaseLoad();
      call.onResponseComplete();
    }
  }

  @Override
  public void onFailure(String why) {
    if (!call.isCurrent(this)) {
      return;
    }
    if (!responseAccepted) {
      upstream.unreachable(context.nowNanos());
    }
    call.recordStrike(upstream.id());
    fail("broken", why);
  }
}
