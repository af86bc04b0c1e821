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
 * A call of a plain service from its queue to its final answer.
 *
 * <p>Invariant: once a byte of a non-idempotent call may have been written, it is never sent again.
 * Thread-safe: state changes under the object's lock.
 */
final class ServiceRequest implements RelayedRequest {

  private static final int MAX_ATTEMPTS = 3;
  private static final int COST_TOKENS = 1;

  private final CallerRequest request;
  private final RouterPool pool;
  private final RelayContext context;
  private final RequestWatch watch;
  private final UpstreamExclusions exclusions = new UpstreamExclusions();
  private boolean ended;
  private boolean inFlight;
  private boolean written;
  private int attempts;

  ServiceRequest(CallerRequest request, RouterPool pool, RelayContext context, RequestWatch watch) {
    this.request = request;
    this.pool = pool;
    this.context = context;
    this.watch = watch;
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
    return !exclusions.excludes(upstream.id(), context.clock().getAsLong());
  }

  @Override
  public boolean isPreemptible() {
    return false;
  }

  @Override
  public void preempt() {
    // A service call cannot be continued, so it is never stopped.
  }

  @Override
  public void start(SlotAssignment<PooledRequest> assignment) {
    UpstreamSlots upstream = assignment.upstream();
    if (!begin()) {
      pool.releaseSlot(this);
      return;
    }
    DecisionLog.routed(
        request, upstream.id(), attemptId(), assignment.reason(), assignment.skippedAccounts());
    context.service().add(account(), COST_TOKENS);
    pool.addService(account(), COST_TOKENS);
    long now = context.clock().getAsLong();
    Duration left = Duration.ofMillis(Math.max(1, request.deadlineMillis() - now));
    context
        .client()
        .send(call(upstream), left)
        .whenComplete((reply, failure) -> ended(upstream, now, reply, failure));
  }

  private synchronized boolean begin() {
    if (ended) {
      return false;
    }
    attempts++;
    inFlight = true;
    return true;
  }

  private synchronized String attemptId() {
    return request.id() + "." + attempts;
  }

  private HttpRequest call(UpstreamSlots upstream) {
    String path = request.exchange().getRequestPath();
    String rest =
        path.substring(
            WorkClassFilter.SERVICE_PATH_PREFIX.length() + request.pool().name().length());
    String method = request.exchange().getRequestMethod().toString();
    HttpRequest call =
        new HttpRequest(
            upstream.address(),
            method,
            rest.isEmpty() ? "/" : rest,
            Map.of("X-Attempt-Id", attemptId(), "X-Account", request.account().getName()),
            request.body(),
            request.claim().isPresent());
    String contentType = request.header("Content-Type");
    String key = request.header("Idempotency-Key");
    HttpRequest typed = contentType.isEmpty() ? call : call.withHeader("Content-Type", contentType);
    return key.isEmpty() ? typed : typed.withHeader("Idempotency-Key", key);
  }

  private void ended(
      UpstreamSlots upstream, long startedAt, HttpResponse reply, Throwable failure) {
    long now = context.clock().getAsLong();
    synchronized (this) {
      inFlight = false;
    }
    pool.releaseSlot(this);
    if (failure == null) {
      answered(upstream, startedAt, reply, now);
    } else {
      Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
      failed(upstream, cause, now);
    }
  }

  private void answered(UpstreamSlots upstream, long startedAt, HttpResponse reply, long now) {
    context.holdingTimes().observe(request.pool(), request.workClass().getName(), now - startedAt);
    context.metrics().attempted(AttemptOutcome.WHOLE.name());
    String attempt = reply.header("X-Attempt-Id").orElse("");
    if (!attempt.equals(attemptId())) {
      markWritten();
      context.client().closeIdleConnections(upstream.address());
      failed(upstream, wrongAnswer(), now);
      return;
    }
    if (!end()) {
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
    context.metrics().answered(request.workClass().getName(), "whole");
    DecisionLog.answered(request, attempt, COST_TOKENS, now - request.receivedAtMillis());
    write(reply);
  }

  private static HttpException wrongAnswer() {
    return new HttpException(
        HttpException.Kind.BROKEN, true, "the answer belongs to another attempt", null);
  }

  private void write(HttpResponse reply) {
    HttpServerExchange exchange = request.exchange();
    exchange
        .getIoThread()
        .execute(
            () -> {
              exchange.setStatusCode(reply.status());
              reply
                  .header("Content-Type")
                  .ifPresent(t -> exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, t));
              ByteBuffer body = ByteBuffer.wrap(reply.body());
              exchange.getResponseSender().send(body, IoCallback.END_EXCHANGE);
            });
  }

  private synchronized void markWritten() {
    written = true;
  }

  private void failed(UpstreamSlots upstream, Throwable cause, long now) {
    boolean mayHaveRun = !(cause instanceof HttpException f) || f.mayHaveReachedServer();
    if (mayHaveRun) {
      markWritten();
    } else {
      pool.blockUpstream(upstream.id());
    }
    exclusions.add(upstream.id(), now);
    AttemptOutcome outcome = mayHaveRun ? AttemptOutcome.BROKEN : AttemptOutcome.NOT_CONNECTED;
    DecisionLog.attemptFailed(request, upstream.id(), attemptId(), outcome.name());
    context.metrics().attempted(outcome.name());
    if (mayRetry(now) && (!mayHaveRun || context.budgets().tryRetry(account()))) {
      pool.submit(this);
    } else {
      fail(Problems.upstreamFailed(runState(), "no whole answer").problem());
    }
  }

  private synchronized boolean mayRetry(long now) {
    boolean safe = !written || request.workClass().getIdempotent();
    return safe && !ended && attempts < MAX_ATTEMPTS && now < request.deadlineMillis();
  }

  private synchronized RunState runState() {
    return written ? RunState.UNKNOWN : RunState.NOT_RUN;
  }

  private boolean end() {
    synchronized (this) {
      if (ended) {
        return false;
      }
      ended = true;
    }
    watch.remove(this);
    return true;
  }

  private void fail(Problem problem) {
    if (!end()) {
      return;
    }
    request
        .claim()
        .ifPresent(
            claim -> {
              if (problem.run() == RunState.NOT_RUN) {
                claim.release();
              } else {
                claim.markOutcomeUnknown();
              }
            });
    context.problems().write(request, problem);
  }

  @Override
  public void checkTimeouts(long now) {
    boolean waiting;
    synchronized (this) {
      waiting = !inFlight;
    }
    boolean late = now >= request.deadlineMillis() || now >= request.firstTokenDeadlineMillis();
    if (waiting && late && pool.cancel(this)) {
      Problem problem =
          runState() == RunState.NOT_RUN
              ? Problems.tooLate("the whole answer", 1).problem()
              : Problems.timedOut(runState()).problem();
      fail(problem);
    }
  }
}
