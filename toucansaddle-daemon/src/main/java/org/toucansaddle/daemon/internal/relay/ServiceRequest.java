package org.toucansaddle.daemon.internal.relay;

import com.google.protobuf.ByteString;
import io.undertow.io.IoCallback;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.toucansaddle.coordination.sharing.SlotAssignment;
import org.toucansaddle.coordination.sharing.UpstreamSlots;
import org.toucansaddle.daemon.internal.logging.DecisionLog;
import org.toucansaddle.daemon.internal.problem.Problem;
import org.toucansaddle.daemon.internal.problem.Problems;
import org.toucansaddle.daemon.internal.problem.RunState;
import org.toucansaddle.daemon.internal.request.CallerRequest;
import org.toucansaddle.daemon.internal.request.WorkClassFilter;
import org.toucansaddle.daemon.internal.sharing.PooledRequest;
import org.toucansaddle.daemon.internal.sharing.RouterPool;
import org.toucansaddle.http.HttpException;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.protocol.generated.ClaimOutcome;

/**
 * A request to a plain service from its queue to its final response.
 *
 * <p>Invariant: a non-idempotent request is never sent again once any byte of it may have been
 * written to an upstream. Thread-safe: state is guarded by this object's lock.
 */
final class ServiceRequest implements RelayedRequest {

  private static final int MAX_ATTEMPTS = 3;
  private static final int COST_TOKENS = 1;

  private final CallerRequest request;
  private final RouterPool pool;
  private final RelayContext context;
  private final ActiveRequests activeRequests;
  private final UpstreamExclusions exclusions = new UpstreamExclusions();
  private boolean ended;
  private boolean inFlight;
  private boolean mayHaveReachedUpstream;
  private int attemptCount;

  ServiceRequest(
      CallerRequest request, RouterPool pool, RelayContext context, ActiveRequests activeRequests) {
    this.request = request;
    this.pool = pool;
    this.context = context;
    this.activeRequests = activeRequests;
  }

  @Override
  public int account() {
    return request.account().getNumber();
  }

  @Override
  public long deadlineMillis() {
    return request.deadlineMillis();
  }

  @Override
  public boolean canRunOn(UpstreamSlots upstream) {
    return !exclusions.isExcluded(upstream.id(), context.clock().getAsLong());
  }

  @Override
  public boolean isPreemptible() {
    return false;
  }

  @Override
  public void preempt() {
    // A service request cannot be resumed, so it is never preempted.
  }

  @Override
  public void start(SlotAssignment<PooledRequest> assignment) {
    UpstreamSlots upstream = assignment.upstream();
    if (!beginAttempt()) {
      pool.releaseSlot(this);
      return;
    }
    DecisionLog.routed(
        request, upstream.id(), attemptId(), assignment.reason(), assignment.skippedAccounts());
    context.serviceCounters().add(account(), COST_TOKENS);
    pool.addService(account(), COST_TOKENS);
    long nowMillis = context.clock().getAsLong();
    Duration timeout = Duration.ofMillis(Math.max(1, request.deadlineMillis() - nowMillis));
    context
        .client()
        .send(call(upstream), timeout)
        .whenComplete((reply, failure) -> onAttemptEnded(upstream, nowMillis, reply, failure));
  }

  private synchronized boolean beginAttempt() {
    if (ended) {
      return false;
    }
    attemptCount++;
    inFlight = true;
    return true;
  }

  private synchronized String attemptId() {
    return request.id() + "." + attemptCount;
  }

  private HttpRequest call(UpstreamSlots upstream) {
    String path = request.exchange().getRequestPath();
    String servicePath =
        path.substring(
            WorkClassFilter.SERVICE_PATH_PREFIX.length() + request.pool().name().length());
    String method = request.exchange().getRequestMethod().toString();
    HttpRequest call =
        new HttpRequest(
            upstream.address(),
            method,
            servicePath.isEmpty() ? "/" : servicePath,
            Map.of("X-Attempt-Id", attemptId(), "X-Account", request.account().getName()),
            request.body(),
            request.claim().isPresent());
    String contentType = request.header("Content-Type");
    String idempotencyKey = request.header("Idempotency-Key");
    HttpRequest typedCall =
        contentType.isEmpty() ? call : call.withHeader("Content-Type", contentType);
    return idempotencyKey.isEmpty()
        ? typedCall
        : typedCall.withHeader("Idempotency-Key", idempotencyKey);
  }

  private void onAttemptEnded(
      UpstreamSlots upstream, long startedAtMillis, HttpResponse reply, Throwable failure) {
    long nowMillis = context.clock().getAsLong();
    synchronized (this) {
      inFlight = false;
    }
    pool.releaseSlot(this);
    if (failure == null) {
      onReply(upstream, startedAtMillis, reply, nowMillis);
    } else {
      Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
      onFailure(upstream, cause, nowMillis);
    }
  }

  private void onReply(
      UpstreamSlots upstream, long startedAtMillis, HttpResponse reply, long nowMillis) {
    context
        .holdingTimes()
        .observe(request.pool(), request.workClass().getName(), nowMillis - startedAtMillis);
    context.metrics().countAttempt(AttemptOutcome.WHOLE.name());
    String attemptId = reply.header("X-Attempt-Id").orElse("");
    if (!attemptId.equals(attemptId())) {
      markMayHaveReachedUpstream();
      context.client().closeIdleConnections(upstream.address());
      onFailure(upstream, wrongAttemptFailure(), nowMillis);
      return;
    }
    if (!tryEnd()) {
      return;
    }
    request
        .claim()
        .ifPresent(
            claim ->
                claim.recordOutcome(
                    ClaimOutcome.newBuilder()
                        .setHttpStatus(reply.status())
                        .setContentType(reply.header("Content-Type").orElse(""))
                        .setBody(ByteString.copyFrom(reply.body()))));
    context.metrics().countAnswer(request.workClass().getName(), "whole");
    DecisionLog.answered(request, attemptId, COST_TOKENS, nowMillis - request.receivedAtMillis());
    writeResponse(reply);
  }

  private static HttpException wrongAttemptFailure() {
    return new HttpException(
        HttpException.Kind.BROKEN, true, "the response belongs to another attempt", null);
  }

  private void writeResponse(HttpResponse reply) {
    HttpServerExchange exchange = request.exchange();
    exchange
        .getIoThread()
        .execute(
            () -> {
              exchange.setStatusCode(reply.status());
              reply
                  .header("Content-Type")
                  .ifPresent(
                      contentType ->
                          exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType));
              ByteBuffer body = ByteBuffer.wrap(reply.body());
              exchange.getResponseSender().send(body, IoCallback.END_EXCHANGE);
            });
  }

  private synchronized void markMayHaveReachedUpstream() {
    mayHaveReachedUpstream = true;
  }

  private void onFailure(UpstreamSlots upstream, Throwable cause, long nowMillis) {
    boolean mayHaveRun = !(cause instanceof HttpException f) || f.mayHaveReachedServer();
    if (mayHaveRun) {
      markMayHaveReachedUpstream();
    } else {
      pool.blockUpstream(upstream.id());
    }
    exclusions.exclude(upstream.id(), nowMillis);
    AttemptOutcome outcome = mayHaveRun ? AttemptOutcome.BROKEN : AttemptOutcome.NOT_CONNECTED;
    DecisionLog.attemptFailed(request, upstream.id(), attemptId(), outcome.name());
    context.metrics().countAttempt(outcome.name());
    if (mayRetry(nowMillis) && (!mayHaveRun || context.retryBudgets().tryAcquire(account()))) {
      pool.submit(this);
    } else {
      fail(Problems.upstreamFailed(runState(), "no complete response").problem());
    }
  }

  private synchronized boolean mayRetry(long nowMillis) {
    boolean retrySafe = !mayHaveReachedUpstream || request.workClass().getIdempotent();
    return retrySafe
        && !ended
        && attemptCount < MAX_ATTEMPTS
        && nowMillis < request.deadlineMillis();
  }

  private synchronized RunState runState() {
    return mayHaveReachedUpstream ? RunState.UNKNOWN : RunState.NOT_RUN;
  }

  private boolean tryEnd() {
    synchronized (this) {
      if (ended) {
        return false;
      }
      ended = true;
    }
    activeRequests.remove(this);
    return true;
  }

  private void fail(Problem problem) {
    if (!tryEnd()) {
      return;
    }
    request
        .claim()
        .ifPresent(
            claim -> {
              if (problem.runState() == RunState.NOT_RUN) {
                claim.release();
              } else {
                claim.markOutcomeUnknown();
              }
            });
    context.problems().write(request, problem);
  }

  @Override
  public void checkTimeouts(long nowMillis) {
    boolean queued;
    synchronized (this) {
      queued = !inFlight;
    }
    boolean late =
        nowMillis >= request.deadlineMillis() || nowMillis >= request.firstTokenDeadlineMillis();
    if (queued && late && pool.cancel(this)) {
      Problem problem =
          runState() == RunState.NOT_RUN
              ? Problems.targetCannotBeMet("the whole answer", 1).problem()
              : Problems.deadlineExceeded(runState()).problem();
      fail(problem);
    }
  }
}
