package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.daemon.internal.gateway.relay.Placement.Choice;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamConnections.Connection;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;

/**
 * One upstream's turn at a request: counts its load, sends the request, judges the answer's head.
 *
 * <p>Confined to the call's I/O thread. Its load is counted until {@link #release}, once.
 */
final class CallAttempt implements UpstreamAttempt.Listener {

  private static final HttpString LAST_EVENT_ID = new HttpString("Last-Event-Id");

  private final RelayContext context;
  private final RelayedCall call;
  private final HttpServerExchange exchange;
  private final Upstream upstream;
  private final int toRead;
  private final int memory;
  private final long tokensAhead;
  private final double nominalSpeed;
  private final double expectedMillis;
  private UpstreamAttempt sent;
  private SilenceWatch silence;
  private long sentAt;
  private boolean promptCounted = true;
  private boolean counted = true;
  private boolean relaying;

  /**
   * Creates an attempt and counts its load.
   *
   * @param nominalSpeed speed of reading that the choice reckoned with, in tokens a millisecond
   */
  CallAttempt(
      RelayContext context,
      RelayedCall call,
      HttpServerExchange exchange,
      Choice choice,
      double nominalSpeed) {
    this.context = context;
    this.call = call;
    this.exchange = exchange;
    this.upstream = choice.upstream();
    this.toRead = choice.toRead();
    this.memory = toRead + call.head().expectedOutputTokens();
    this.nominalSpeed = nominalSpeed;
    this.expectedMillis = choice.waitMillis();
    upstream.recordRequestStarted(toRead, memory);
    this.tokensAhead = upstream.pendingTokens();
  }

  Upstream upstream() {
    return upstream;
  }

  /** Returns whether the upstream may have got a part of the request. */
  boolean isSent() {
    return sent != null;
  }

  /** Sends the request on a connection. */
  void begin(Connection connection, byte[] body) {
    sentAt = context.now();
    sent = new UpstreamAttempt(connection, body, this);
    silence = new SilenceWatch(context, call, this, exchange.getIoThread(), expectedMillis);
    sent.start(request(body));
  }

  private ClientRequest request(byte[] body) {
    ClientRequest request = new ClientRequest();
    String query = exchange.getQueryString();
    String path = call.head().path() + (query.isEmpty() ? "" : "?" + query);
    request.setMethod(exchange.getRequestMethod()).setPath(path);
    HeaderMap headers = request.getRequestHeaders();
    context.codec().copyRequest(exchange.getRequestHeaders(), headers);
    long left = Math.max(1, call.leftMillis());
    context.codec().address(headers, upstream.id(), call.account(), left);
    if (body.length > 0 || exchange.getRequestHeaders().contains(Headers.CONTENT_LENGTH)) {
      headers.put(Headers.CONTENT_LENGTH, body.length);
    }
    if (call.lastEventId() >= 0) {
      headers.put(LAST_EVENT_ID, Long.toString(call.lastEventId()));
    }
    return request;
  }

  /** The upstream does not answer, or stopped in the middle of a stream. */
  void silent(long millis) {
    fail("silent", "silent for " + millis + " ms");
  }

  /** Goes on reading after the caller had no room. */
  void resume() {
    if (sent != null) {
      sent.resume();
    }
  }

  /** Gives the attempt up, which tells the upstream to stop. */
  void cancel() {
    release();
    if (sent != null) {
      sent.cancel();
    }
  }

  /** Counts no load for the attempt any more. */
  void release() {
    promptRead();
    if (counted) {
      counted = false;
      upstream.recordRequestEnded(memory);
    }
    if (silence != null) {
      silence.close();
    }
  }

  private void promptRead() {
    if (promptCounted) {
      promptCounted = false;
      upstream.recordPromptProcessed(toRead);
    }
  }

  @Override
  public void onHead(ClientResponse response) {
    HeaderMap headers = response.getResponseHeaders();
    int status = response.getResponseCode();
    upstream.markReachable();
    if (!context.codec().belongsTo(call.head().requestId(), headers)) {
      fail("crossed", "the answer belongs to another request");
    } else if (context.codec().isNotExecuted(status, headers)) {
      cancel();
      call.notExecuted(this, status);
    } else if (!isUpstreamsOwn(status, headers)) {
      fail("unsealed", "status " + status + " is not the upstream's own answer");
    } else if (call.isAnswering() && !isSuccess(status)) {
      fail("status-" + status, "the upstream did not go on with the stream");
    } else if (status >= 500 && call.mayRepeatFailure()) {
      fail("status-" + status, "the upstream failed");
    } else {
      relaying = true;
      if (!call.route().isStream()) {
        promptRead();
        silence.answered();
      }
      call.answerBegins(status, headers);
    }
  }

  static boolean isSuccess(int status) {
    return status >= 200 && status < 300;
  }

  /** A success, or a status that promises that nothing ran, must prove where it comes from. */
  private boolean isUpstreamsOwn(int status, HeaderMap headers) {
    boolean promises = status == 408 || status == 429 || status == 503;
    boolean sealed = context.codec().isSealed(headers) && context.codec().namesRequest(headers);
    return !headers.contains(Headers.CONTENT_ENCODING)
        && (sealed || !(isSuccess(status) || promises));
  }

  private void fail(String outcome, String why) {
    cancel();
    call.lost(this, outcome, why);
  }

  @Override
  public boolean onBody(ByteBuffer data) {
    if (!call.isCurrent(this)) {
      return false;
    }
    silence.heard();
    if (promptCounted && toRead > 0) {
      long millis = TimeUnit.NANOSECONDS.toMillis(context.now() - sentAt);
      context.speed(call.service()).observed(tokensAhead, nominalSpeed, millis);
    }
    promptRead();
    return call.answerGoesOn(this, data);
  }

  @Override
  public void onPause() {
    call.flush();
  }

  @Override
  public void onEnd() {
    if (call.isCurrent(this)) {
      release();
      call.answered();
    }
  }

  @Override
  public void onBroken(String why) {
    if (!call.isCurrent(this)) {
      return;
    }
    if (!relaying) {
      upstream.markUnreachable(context.now());
    }
    call.struck(upstream.id());
    fail("broken", why);
  }
}
