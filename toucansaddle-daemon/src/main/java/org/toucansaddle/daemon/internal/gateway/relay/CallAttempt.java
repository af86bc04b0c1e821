package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.coordination.upstream.ReportedLoad;
import org.toucansaddle.daemon.internal.gateway.placement.PlacementGrant;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamConnectionPool.Connection;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Selection;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;
import org.toucansaddle.http.MalformedResponseException;
import org.toucansaddle.http.ResponseHead;

/**
 * One attempt of a call at one upstream: accounts for its load, sends the request, and validates
 * the head of the response.
 *
 * <p>Confined to the call's I/O thread. The load counts until the first {@link #releaseLoad}.
 */
final class CallAttempt implements UpstreamExchange.Listener {

  /** Time for which an upstream writes a response until it has survived the parts of the prompt. */
  private static final long SURVIVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final HttpString LAST_EVENT_ID = new HttpString("Last-Event-Id");

  private final RelayContext context;
  private final RelayedCall call;
  private final HttpServerExchange exchange;
  private final Upstream upstream;
  private final int prefillTokens;
  private final int memoryTokens;
  private final long pendingTokens;
  private final double nominalTokensPerMilli;
  private final int maxConnections;
  private final double expectedFirstTokenMillis;
  private final Dispatch dispatch;
  private final PlacementGrant grant;
  private UpstreamExchange upstreamExchange;
  private StallDetector stallDetector;
  private PaceSample paceSample;
  private long sentAtNanos;
  private boolean prefillCounted = true;
  private boolean loadCounted = true;
  private boolean responseAccepted;
  private boolean survivalExpected;
  private long firstDataAtNanos;

  /**
   * Creates an attempt and adds its load to the upstream.
   *
   * @param choice made the selection
   */
  CallAttempt(
      RelayContext context,
      RelayedCall call,
      HttpServerExchange exchange,
      Selection selection,
      UpstreamChoice choice) {
    this.context = context;
    this.call = call;
    this.exchange = exchange;
    this.upstream = selection.upstream();
    this.prefillTokens = selection.prefillTokens();
    this.memoryTokens = prefillTokens + call.head().expectedOutputTokens();
    this.nominalTokensPerMilli = choice.nominalTokensPerMilli();
    this.maxConnections = choice.maxConnections();
    this.expectedFirstTokenMillis = selection.expectedFirstTokenMillis();
    upstream.recordRequestStarted(prefillTokens, memoryTokens);
    long now = context.nowNanos();
    this.pendingTokens = upstream.pendingTokens(now);
    this.dispatch = Dispatch.of(selection, now);
    this.grant = call.admission().takeGrant();
  }

  Upstream upstream() {
    return upstream;
  }

  Dispatch dispatch() {
    return dispatch;
  }

  /** Returns whether the upstream may have received part of the request. */
  boolean isSent() {
    return upstreamExchange != null;
  }

  /**
   * Sends the request on an idle connection, or on a new one.
   *
   * @param fallback response to the caller if neither this upstream nor another one is reached
   */
  void launch(ErrorResponse fallback) {
    String address = upstream.report().address();
    UpstreamConnectionPool pool = context.connectionPool(exchange.getIoThread());
    Connection idle = pool.acquireIdle(address);
    if (idle != null) {
      startIfPermitted(idle, OptionalLong.empty(), fallback);
    } else if (pool.openCount(address) >= maxConnections) {
      long delayMillis = RetryAfter.randomDelayMillis(call.route().targetMillis());
      String detail = "All connections are in use.";
      call.onUnavailable(this, ErrorResponse.notRun("connections-used", detail, delayMillis));
    } else {
      OptionalLong reservedUntil = context.state().coldStart().reserve(upstream);
      pool.connect(
          address,
          connection -> onConnected(connection, reservedUntil, fallback),
          failure -> onConnectFailed(failure, fallback));
    }
  }

  private void onConnected(
      Connection connection, OptionalLong reservedUntil, ErrorResponse fallback) {
    if (!call.isUnderWay(this)) {
      connection.release(0);
    } else if (upstream.turnsAway(context.nowNanos())) {
      connection.close();
      call.onUnavailable(this, fallback);
    } else {
      startIfPermitted(connection, reservedUntil, fallback);
    }
  }

  private void startIfPermitted(
      Connection connection, OptionalLong reservedUntil, ErrorResponse fallback) {
    if (context.state().beginRequest(upstream, reservedUntil)) {
      start(connection);
    } else {
      connection.release(0);
      call.onUnavailable(this, fallback);
    }
  }

  private void onConnectFailed(IOException failure, ErrorResponse fallback) {
    long now = context.nowNanos();
    upstream.markUnreachable(now);
    upstream.pace().recordFailed(now, now);
    if (failure instanceof ConnectException) {
      context.state().recordRefusedConnection(upstream);
    }
    context.metrics().recordAttempt("unreachable");
    if (call.isUnderWay(this)) {
      RelayLog.attemptFailed(call, dispatch, "unreachable", failure.getMessage());
      call.onUnavailable(this, fallback);
    }
  }

  private void start(Connection connection) {
    byte[] body = call.onAttemptStarted(this);
    sentAtNanos = context.nowNanos();
    paceSample =
        new PaceSample(
            context.state().paced(),
            upstream,
            expectedFirstTokenMillis,
            call.route().targetMillis(),
            sentAtNanos);
    upstreamExchange = new UpstreamExchange(connection, this);
    stallDetector =
        new StallDetector(context, call, this, exchange.getIoThread(), expectedFirstTokenMillis);
    String method = exchange.getRequestMethod().toString();
    upstreamExchange.start(method, call.head().target(), requestHeaders(body), body);
  }

  private HeaderMap requestHeaders(byte[] body) {
    HeaderMap headers = new HeaderMap();
    context.codec().copyRequestHeaders(exchange.getRequestHeaders(), headers);
    long remaining = Math.max(1, call.remainingMillis());
    context.codec().setUpstreamHeaders(headers, upstream.id(), call.request().account(), remaining);
    if (body.length > 0 || exchange.getRequestHeaders().contains(Headers.CONTENT_LENGTH)) {
      headers.put(Headers.CONTENT_LENGTH, body.length);
    }
    if (call.lastEventId() >= 0) {
      headers.put(LAST_EVENT_ID, Long.toString(call.lastEventId()));
    }
    return headers;
  }

  /** Resumes reading after the caller's backpressure ended. */
  void resume() {
    if (upstreamExchange != null) {
      stallDetector.onReadingResumed();
      upstreamExchange.resume();
    }
  }

  /** Cancels the attempt; the closed connection signals the upstream to stop, but it may run on. */
  void cancel() {
    if (close()) {
      paceSample.onAbandoned(context.ioLag().averageMillis(), context.nowNanos());
      call.quarantine().recordAbandoned(upstream, call.remainingMillis());
    }
  }

  /** Closes the connection, if any; returns whether a response was still awaited. */
  private boolean close() {
    releaseLoad();
    return upstreamExchange != null && upstreamExchange.cancel();
  }

  /** Removes the load of the attempt from the upstream. */
  void releaseLoad() {
    releasePrefillLoad();
    if (loadCounted) {
      loadCounted = false;
      upstream.recordRequestEnded(memoryTokens);
      grant.ended();
    }
    if (stallDetector != null) {
      stallDetector.close();
    }
  }

  private void releasePrefillLoad() {
    if (prefillCounted) {
      prefillCounted = false;
      upstream.recordPromptProcessed(prefillTokens);
    }
  }

  @Override
  public void onResponseHead(ResponseHead head) {
    HeaderMap headers = head.fields();
    int status = head.status();
    upstream.markReachable();
    if (!context.codec().matchesRequestId(call.head().requestId(), headers)) {
      fail("crossed", "the response belongs to another request");
      return;
    }
    boolean isRefusal = context.codec().isNotExecuted(status, headers);
    if (isRefusal && !context.codec().namesRequest(call.head().requestId(), headers)) {
      fail("unidentified", "status " + status + " does not say which request was not run");
      return;
    }
    if (status != HeaderCodec.MISDIRECTED_REQUEST) {
      takeNotice(context.codec().readNotice(status, headers));
      if (isRefusal || isFromUpstream(status, headers)) {
        takeLoad(context.codec().loadText(headers));
      }
    }
    if (isRefusal) {
      upstream.condition().recordAnswer(false, context.nowNanos());
      if (status != HeaderCodec.MISDIRECTED_REQUEST) {
        paceSample.onRejected(context.nowNanos());
      }
      close();
      call.onNotExecuted(this, status);
    } else if (!isFromUpstream(status, headers)) {
      fail("unsealed", "status " + status + " does not come from the upstream itself");
    } else if (ErrorResponse.isPromise(status) && !call.route().isRepeatable()) {
      fail("unproven", "status " + status + " does not say that the request was not run");
    } else if (call.isResponding() && !HeaderCodec.continuesEventStream(status, headers)) {
      fail("status-" + status, "the upstream did not resume the stream");
    } else if (status >= 500 && (call.mayRetryFailure() || call.takeover().isStandby(this))) {
      fail("status-" + status, "the upstream failed");
    } else {
      responseAccepted = true;
      survivalExpected = isSuccess(status);
      upstream.condition().recordAnswer(true, context.nowNanos());
      if (call.takeover().isStandby(this)) {
        call.replaceSilentAttempt();
      }
      if (!call.route().isStream()) {
        releasePrefillLoad();
        stallDetector.onResponseStarted();
      }
      call.onResponseHead(head);
    }
  }

  /** Keeps the last limit that was readable if the upstream names one that is not. */
  private void takeNotice(UpstreamNotice notice) {
    if (!notice.malformedLimit()) {
      context.state().recordLimit(upstream, notice.requestsPerSecond());
    }
    if (notice.leaving() && context.state().recordLeaving(upstream)) {
      context.closeIdleConnections(upstream.report().address());
    }
    if (notice.pauseMillis() > 0) {
      context.state().recordPause(upstream, notice.pauseMillis());
    }
    if (!notice.malformed().isEmpty() && upstream.isFirstMalformedNotice()) {
      RelayLog.malformedNotice(call, upstream, notice.malformed());
    }
  }

  /** Takes over the load that the upstream reports. */
  private void takeLoad(String text) {
    if (text == null) {
      return;
    }
    Optional<ReportedLoad> load = LoadField.parse(text);
    if (load.isPresent()) {
      upstream.condition().recordLoad(load.get(), context.nowNanos());
    } else {
      context.metrics().recordMalformedLoad();
      if (upstream.isFirstMalformedNotice()) {
        RelayLog.malformedNotice(call, upstream, List.of(text));
      }
    }
  }

  static boolean isSuccess(int status) {
    return status >= 200 && status < 300;
  }

  /**
   * Returns whether a response may be trusted to come from the upstream. A success, or a status
   * that promises that the request did not run, must carry the upstream's seal.
   */
  private boolean isFromUpstream(int status, HeaderMap headers) {
    boolean sealed = context.codec().hasSeal(headers) && context.codec().hasRequestId(headers);
    return !headers.contains(Headers.CONTENT_ENCODING)
        && (sealed || !(isSuccess(status) || ErrorResponse.isPromise(status)));
  }

  private void fail(String outcome, String cause) {
    paceSample.onFailure(context.nowNanos());
    cancel();
    call.onAttemptLost(this, outcome, cause);
  }

  @Override
  public boolean onResponseData(ByteBuffer data) {
    if (!call.isCurrent(this)) {
      return false;
    }
    call.takeover().dismiss();
    stallDetector.onData();
    recordSurvival(context.nowNanos());
    paceSample.onData(context.ioLag().averageMillis(), context.nowNanos());
    if (prefillCounted && prefillTokens > 0 && survivalExpected) {
      long millis = TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - sentAtNanos);
      double lagMillis = context.ioLag().averageMillis();
      context
          .estimator(call.service())
          .addSample(pendingTokens, nominalTokensPerMilli, millis, lagMillis);
      upstream
          .condition()
          .recordTime(
              millis - lagMillis,
              FirstTokenEstimator.nominalMillis(pendingTokens, nominalTokensPerMilli),
              context.nowNanos());
      grant.started(Math.max(0, millis - Math.round(lagMillis)));
    }
    call.admission().recordBegun();
    releasePrefillLoad();
    boolean hasRoom = call.onResponseData(this, data);
    if (!hasRoom) {
      stallDetector.onReadingPaused();
    }
    return hasRoom;
  }

  private void recordSurvival(long now) {
    if (firstDataAtNanos == 0) {
      firstDataAtNanos = now;
    } else if (survivalExpected && now - firstDataAtNanos >= SURVIVAL_NANOS) {
      survivalExpected = false;
      call.quarantine().recordSurvival();
    }
  }

  @Override
  public int readBytes(int usual) {
    return call.response().readBytes(usual);
  }

  @Override
  public void onDataDrained() {
    call.response().flush();
  }

  @Override
  public Optional<String> findTruncation() {
    return call.isCurrent(this) ? call.response().findTruncation() : Optional.empty();
  }

  @Override
  public boolean keepsConnection() {
    return !upstream.isLeaving();
  }

  @Override
  public void onResponseComplete() {
    if (call.isCurrent(this)) {
      call.takeover().dismiss();
      releaseLoad();
      call.onResponseComplete();
    }
  }

  @Override
  public void onFailure(IOException cause) {
    if (!call.isUnderWay(this)) {
      return;
    }
    if (!responseAccepted) {
      upstream.markBroken(context.nowNanos());
    }
    call.quarantine().recordStrike(upstream);
    String message = cause.getMessage();
    fail(
        cause instanceof MalformedResponseException ? "malformed" : "broken",
        message == null ? cause.getClass().getSimpleName() : message);
  }
}
