package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.server.HttpServerExchange;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.daemon.gateway.Repetition;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.internal.gateway.origin.StreamOrigin;
import org.toucansaddle.daemon.internal.gateway.relay.EventSplitter.Fault;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Selection;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;
import org.toucansaddle.daemon.internal.problem.RunState;
import org.toucansaddle.http.ResponseHead;
import org.xnio.XnioExecutor;

/**
 * One request in flight: selects upstreams, decides on retries, and streams the response.
 *
 * <p>Confined to its caller's I/O thread. The caller receives exactly one response, as soon as it
 * is known; a response that cannot be completed is ended by closing the connection.
 */
final class RelayedCall {

  /** Remaining time below which no attempt starts: no upstream could respond in time. */
  private static final long MIN_REMAINING_MILLIS = 20;

  /** Lead time of an error response before the caller of a silent stream gives up. */
  private static final long CALLER_TIMEOUT_MARGIN_MILLIS = 300;

  private static final String CALLER_GONE = "caller-gone";

  private static final ErrorResponse NO_UPSTREAM = ErrorResponse.noUpstream();

  private enum Phase {
    NOT_SENT,
    AWAITING_RESPONSE,
    RESPONDING,
    ENDED
  }

  private final RelayContext context;
  private final HttpServerExchange exchange;
  private final CallRequest request;
  private final Route route;
  private final CallQuarantine quarantine;
  private final CallTimes times;
  private final UpstreamChoice choice;
  private final ResponseRelay response;
  private final Takeover takeover;
  private final CallAdmission admission;

  private Phase phase = Phase.NOT_SENT;
  private CallAttempt currentAttempt;
  private XnioExecutor.Key timer;
  private final SentAttempts sent = new SentAttempts();
  private double expectedFirstTokenMillis;
  private Dispatch lastDispatch = Dispatch.NONE;

  RelayedCall(
      RelayContext context,
      HttpServerExchange exchange,
      CallRequest request,
      Optional<StreamOrigin> origin,
      long startNanos) {
    this.context = context;
    this.exchange = exchange;
    this.request = request;
    this.route = request.route();
    RequestHead head = request.head();
    this.times = new CallTimes(context::nowNanos, startNanos, head.timeoutMillis(route));
    this.choice = new UpstreamChoice(context, request, origin);
    this.quarantine =
        new CallQuarantine(
            context.state().quarantine(),
            RequestDigest.of(head, request.account(), request.body()),
            RequestDigest.ofSharedParts(head));
    this.takeover = new Takeover(context, this, choice);
    this.admission = new CallAdmission(context, this, exchange, choice);
    this.response =
        new ResponseRelay(
            context, exchange, request, this::resumeAttempt, this::onCallerDisconnected);
  }

  CallRequest request() {
    return request;
  }

  RequestHead head() {
    return request.head();
  }

  Route route() {
    return route;
  }

  /** Returns the version of the configuration in force now; the call keeps its own. */
  long versionInForce() {
    return context.state().version();
  }

  CallQuarantine quarantine() {
    return quarantine;
  }

  int attempts() {
    return sent.count();
  }

  String service() {
    return choice.service();
  }

  Dispatch lastDispatch() {
    return lastDispatch;
  }

  double expectedFirstTokenMillis() {
    return expectedFirstTokenMillis;
  }

  CallTimes times() {
    return times;
  }

  long remainingMillis() {
    return times.remainingMillis();
  }

  /** Sends the request to an upstream or refuses it. */
  void start() {
    if (refuseIfQuarantined()) {
      return;
    }
    if (!CallerDisconnectDetector.start(exchange, this::onCallerDisconnected)) {
      recordEnd(0, CALLER_GONE, "before the request was read");
      return;
    }
    context.retryBudget(service()).recordRequest();
    context.state().arrivals().record(service());
    long callerWaitMillis = route.callerStallTimeoutMillis() - CALLER_TIMEOUT_MARGIN_MILLIS;
    setTimer(route.isStream() ? Math.min(remainingMillis(), callerWaitMillis) : remainingMillis());
    admission.begin();
  }

  /** Selects the first upstream here. */
  void selectFirst() {
    tryUpstream(NO_UPSTREAM);
  }

  /** Sends the request to its first upstream. */
  void sendFirst(Selection selected) {
    expectedFirstTokenMillis = selected.expectedFirstTokenMillis();
    send(selected, NO_UPSTREAM);
  }

  boolean isEnded() {
    return phase == Phase.ENDED;
  }

  CallAdmission admission() {
    return admission;
  }

  private boolean refuseIfQuarantined() {
    if (!quarantine.isActive()) {
      return false;
    }
    RelayLog.quarantined(this);
    fail(ErrorResponse.quarantined(quarantine.remainingMillis()));
    return true;
  }

  private void setTimer(long millis) {
    long wait = Math.max(1, millis);
    timer = exchange.getIoThread().executeAfter(this::onTimer, wait, TimeUnit.MILLISECONDS);
  }

  /** Tries one more upstream; responds with {@code fallback} if there is none. */
  private void tryUpstream(ErrorResponse fallback) {
    if (refuseIfQuarantined()) {
      return;
    }
    if (remainingMillis() < MIN_REMAINING_MILLIS) {
      endOnTimeout(false);
      return;
    }
    List<Upstream> usable = choice.usable();
    Optional<Selection> selected =
        choice.isThrottled(usable, request.account()) ? Optional.empty() : choice.select(usable);
    expectedFirstTokenMillis = selected.map(Selection::expectedFirstTokenMillis).orElse(0.0);
    Optional<ErrorResponse> refusal =
        phase == Phase.NOT_SENT ? admission.admit(selected, usable) : Optional.empty();
    if (refusal.isPresent() || selected.isEmpty()) {
      fail(refusal.orElse(fallback));
      return;
    }
    send(selected.get(), fallback);
  }

  private ErrorResponse retryLater(String type, String detail) {
    long delayMillis = RetryAfter.randomDelayMillis(route.targetMillis());
    long waitMillis = choice.waitMillis(choice.usable());
    return ErrorResponse.notRun(type, detail, Math.max(delayMillis, waitMillis));
  }

  private void send(Selection selected, ErrorResponse fallback) {
    currentAttempt = createAttempt(selected);
    lastDispatch = currentAttempt.dispatch();
    currentAttempt.launch(fallback);
  }

  /** Creates an attempt that is not sent yet. */
  CallAttempt createAttempt(Selection selected) {
    choice.markTried(selected.upstream());
    return new CallAttempt(context, this, exchange, selected, choice);
  }

  /** Selects an upstream that can take over from the current one. */
  Optional<Selection> selectOther() {
    return quarantine.isActive() ? Optional.empty() : choice.select(choice.usable());
  }

  /** Counts an attempt that is sent now and returns the body of the request. */
  byte[] onAttemptStarted(CallAttempt attempt) {
    sent.recordSent();
    choice.markSent(attempt.upstream());
    if (isCurrent(attempt)) {
      choice.recordOrigin(attempt.upstream());
    }
    phase = phase == Phase.NOT_SENT ? Phase.AWAITING_RESPONSE : phase;
    return request.body();
  }

  /** Tries another upstream, since the request could not be sent. */
  void onUnavailable(CallAttempt attempt, ErrorResponse fallback) {
    attempt.releaseLoad();
    if (!takeover.remove(attempt)) {
      tryUpstream(fallback);
    }
  }

  private void onTimer() {
    boolean beforeDeadline = remainingMillis() >= MIN_REMAINING_MILLIS;
    if (beforeDeadline && phase == Phase.RESPONDING && response.isHeadSent()) {
      setTimer(remainingMillis());
    } else {
      endOnTimeout(beforeDeadline);
    }
  }

  /** Ends the call at its deadline, or just before the caller of a silent stream gives up. */
  private void endOnTimeout(boolean beforeDeadline) {
    if (phase == Phase.ENDED) {
      return;
    }
    RunState run = sent.runState();
    cancelAttempt();
    prepareNextAttempt();
    if (phase == Phase.RESPONDING) {
      abortResponse("the time of the request is over");
    } else {
      respond(beforeDeadline ? ErrorResponse.upstreamSilent(run) : ErrorResponse.timedOut(run));
    }
  }

  private void onCallerDisconnected() {
    if (phase == Phase.ENDED) {
      return;
    }
    cancelAttempt();
    recordEnd(0, CALLER_GONE, "");
  }

  private void cancelAttempt() {
    takeover.cancel();
    CallAttempt attempt = currentAttempt;
    currentAttempt = null;
    if (attempt != null) {
      attempt.cancel();
    }
  }

  private void resumeAttempt() {
    if (currentAttempt != null) {
      currentAttempt.resume();
    }
  }

  /** Ends a call that no upstream can serve; an earlier attempt may have run the request. */
  void fail(ErrorResponse error) {
    if (phase == Phase.RESPONDING) {
      abortResponse(error.type());
    } else {
      respond(error);
    }
  }

  /** Responds; the promise that a request has not run is kept here, for all causes of its end. */
  private void respond(ErrorResponse cause) {
    ErrorResponse error = cause.given(sent.runState());
    recordEnd(error.status(), error.type(), error.detail());
    ErrorResponseWriter.send(
        exchange, request.head().requestId(), error, context.closesConnections());
  }

  /** Discards what the caller has not received of the response. */
  private void prepareNextAttempt() {
    if (phase == Phase.RESPONDING && response.withdrawUnsentHead()) {
      phase = Phase.AWAITING_RESPONSE;
    }
    response.prepareResume();
  }

  private void abortResponse(String cause) {
    recordEnd(exchange.getStatusCode(), "broken-off", cause);
    response.abort();
  }

  private void recordEnd(int status, String outcome, String detail) {
    phase = Phase.ENDED;
    admission.end(outcome);
    if (timer != null) {
      timer.remove();
    }
    context.metrics().recordRequest(route.name(), outcome);
    RelayLog.requestEnded(this, status, outcome, detail);
  }

  boolean isCurrent(CallAttempt attempt) {
    return currentAttempt == attempt && phase != Phase.ENDED;
  }

  boolean isUnderWay(CallAttempt attempt) {
    return isCurrent(attempt) || takeover.isStandby(attempt);
  }

  Takeover takeover() {
    return takeover;
  }

  /** Replaces the current attempt, whose upstream is silent, by the standby. */
  void replaceSilentAttempt() {
    currentAttempt.cancel();
    choice.allowAgain(currentAttempt.upstream());
    context.metrics().recordAttempt("silent");
    RelayLog.attemptFailed(this, currentAttempt.dispatch(), "silent", "another one takes over");
    continueWithStandby();
  }

  private void continueWithStandby() {
    prepareNextAttempt();
    currentAttempt = takeover.take();
    lastDispatch = currentAttempt.dispatch();
    if (currentAttempt.isSent()) {
      choice.recordOrigin(currentAttempt.upstream());
    }
  }

  boolean isResponding() {
    return phase == Phase.RESPONDING;
  }

  /** Returns whether another upstream may resume an interrupted response. */
  boolean isResumable() {
    boolean expected = route.isStream() && route.resumable();
    return phase == Phase.RESPONDING ? response.isResumable() : expected;
  }

  /** Returns whether another upstream may take over the request, from its start or where it is. */
  boolean isMovable() {
    return route.isRepeatable() && (phase != Phase.RESPONDING || isResumable());
  }

  /** Returns the id of the last event sent to the caller; -1 if there was none. */
  long lastEventId() {
    return response.lastEventId();
  }

  boolean hasAttemptsLeft() {
    return choice.hasAttemptsLeft();
  }

  /** Returns whether an error response of the upstream is retried instead of relayed. */
  boolean mayRetryFailure() {
    boolean hasOther = hasAttemptsLeft() && route.repetition() == Repetition.REPEATABLE;
    return phase == Phase.AWAITING_RESPONSE && (hasOther || takeover.isPending());
  }

  /** Retries a request that an upstream reported as not executed. */
  void onNotExecuted(CallAttempt attempt, int status) {
    sent.recordNotRun();
    if (status == HeaderCodec.MISDIRECTED_REQUEST) {
      attempt.upstream().markMisdirected(context.nowNanos());
    }
    context.metrics().recordAttempt("not-executed");
    RelayLog.attemptFailed(this, attempt.dispatch(), "not-executed", "status " + status);
    if (!continuesWithout(attempt)) {
      retry(retryLater("upstream-full", "The upstream did not run the request."), true);
    }
  }

  /** Retries, if allowed, a request whose response was lost; it may have run. */
  void onAttemptLost(CallAttempt attempt, String outcome, String cause) {
    context.metrics().recordAttempt(outcome);
    RelayLog.attemptFailed(this, attempt.dispatch(), outcome, cause);
    if (!continuesWithout(attempt)) {
      prepareNextAttempt();
      ErrorResponse fallback =
          ErrorResponse.upstreamLost("The upstream's answer was lost: " + cause + ".");
      retry(fallback, isMovable());
    }
  }

  /** Returns whether another attempt is under way after one has ended, and continues with it. */
  private boolean continuesWithout(CallAttempt ended) {
    if (takeover.isPending() && !takeover.isStandby(ended)) {
      continueWithStandby();
      return true;
    }
    return takeover.remove(ended);
  }

  private void retry(ErrorResponse fallback, boolean allowed) {
    currentAttempt = null;
    boolean mayRetry = allowed && hasAttemptsLeft() && !quarantine.isActive();
    if (mayRetry && context.retryBudget(service()).tryAcquireRetry()) {
      tryUpstream(fallback);
    } else {
      fail(fallback);
    }
  }

  /** Starts the response to the caller; does nothing if a stream is being resumed. */
  void onResponseHead(ResponseHead head) {
    response.setFraming(head.framing());
    if (phase != Phase.RESPONDING) {
      phase = Phase.RESPONDING;
      response.start(head.status(), head.fields());
    }
    if (!isResumable()) {
      takeover.dismiss();
    }
  }

  /** Relays content; returns whether the caller can accept more. */
  boolean onResponseData(CallAttempt attempt, ByteBuffer data) {
    if (times.recordFirstByte()) {
      context.metrics().recordFirstByte(route.name(), times.firstByteSeconds());
    }
    boolean hasRoom = response.write(data);
    if (response.isHeadSent()) {
      choice.fixOrigin(attempt.upstream());
    }
    Optional<Fault> fault = response.fault();
    if (fault.isPresent()) {
      attempt.cancel();
      onAttemptLost(attempt, fault.get().outcome(), fault.get().cause());
      return false;
    }
    return hasRoom;
  }

  /** Returns the response to the caller. */
  ResponseRelay response() {
    return response;
  }

  /** Ends the response after the upstream completed it. */
  void onResponseComplete() {
    currentAttempt = null;
    context.metrics().recordAttempt("whole");
    if (CallAttempt.isSuccess(exchange.getStatusCode())) {
      quarantine.recordSuccess();
    }
    response.drain();
    recordEnd(exchange.getStatusCode(), "answered", "");
    response.end();
  }
}
