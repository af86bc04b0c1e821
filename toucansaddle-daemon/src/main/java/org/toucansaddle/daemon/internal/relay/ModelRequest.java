package org.toucansaddle.daemon.internal.relay;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.coordination.sharing.SlotAssignment;
import org.toucansaddle.coordination.sharing.UpstreamSlots;
import org.toucansaddle.daemon.internal.logging.DecisionLog;
import org.toucansaddle.daemon.internal.problem.Problem;
import org.toucansaddle.daemon.internal.problem.Problems;
import org.toucansaddle.daemon.internal.problem.RunState;
import org.toucansaddle.daemon.internal.request.CallerRequest;
import org.toucansaddle.daemon.internal.sharing.PooledRequest;
import org.toucansaddle.daemon.internal.sharing.RouterPool;
import org.xnio.XnioIoThread;

/**
 * A model request from its queue to its final response, over one or more attempts.
 *
 * <p>Invariants: at most one attempt runs at a time; the caller gets exactly one complete response
 * or one problem; each acquired slot is released once. Thread-safe: state is guarded by this
 * object's lock; calls to other objects that may call back are made without holding it.
 */
final class ModelRequest implements RelayedRequest, ModelAttempt.Listener {

  private static final int MAX_ATTEMPTS = 5;
  private static final int INITIAL_BACKOFF_MILLIS = 40;

  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int CHARGE_BATCH_TOKENS = 8;

  private final CallerRequest request;
  private final RouterPool pool;
  private final RelayContext context;
  private final ActiveRequests activeRequests;
  private final ResponseWriter responseWriter;
  private final UpstreamExclusions exclusions = new UpstreamExclusions();
  private Optional<ModelAttempt> currentAttempt = Optional.empty();
  private boolean ended;
  private boolean mayHaveReachedUpstream;
  private int attemptCount;
  private int failureCount;
  private int receivedTokens;
  private int unchargedTokens;

  ModelRequest(
      CallerRequest request, RouterPool pool, RelayContext context, ActiveRequests activeRequests) {
    this.request = request;
    this.pool = pool;
    this.context = context;
    this.activeRequests = activeRequests;
    this.responseWriter =
        request.isStreamed()
            ? new EventStreamWriter(request, context.problems(), this::onCallerDisconnected)
            : new JsonResponseWriter(request, context.problems());
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
    if (exclusions.isExcluded(upstream.id(), context.clock().getAsLong())) {
      return false;
    }
    return !hasStrikes() || context.strikeIsolation().isAvailable(upstream.id());
  }

  private boolean hasStrikes() {
    return context.strikes().count(request.digest()) > 0;
  }

  /** Streamed responses are not preempted, because a pause would be visible to the caller. */
  @Override
  public synchronized boolean isPreemptible() {
    return currentAttempt.isPresent() && !request.isStreamed() && !ended;
  }

  @Override
  public void preempt() {
    cancelAttempt(AttemptOutcome.PREEMPTED);
  }

  @Override
  public void start(SlotAssignment<PooledRequest> assignment) {
    UpstreamSlots upstream = assignment.upstream();
    boolean reserved = !hasStrikes() || reserve(upstream);
    Optional<ModelAttempt> attempt = reserved ? beginAttempt(upstream) : Optional.empty();
    if (attempt.isEmpty()) {
      pool.releaseSlot(this);
      if (!reserved) {
        pool.submit(this);
      }
      return;
    }
    DecisionLog.routed(
        request,
        upstream.id(),
        attempt.get().id(),
        assignment.reason(),
        assignment.skippedAccounts());
    if (isFirstAttempt()) {
      charge(estimatedPromptTokens());
    }
    send(attempt.get());
  }

  /** Runs the attempt on the caller's I/O thread, so that chunks are relayed on one thread. */
  private void send(ModelAttempt attempt) {
    String path = request.exchange().getRequestPath();
    String body = upstreamRequestBody();
    boolean retry = failureCount() > 0;
    XnioIoThread thread = request.exchange().getIoThread();
    if (thread == Thread.currentThread()) {
      attempt.send(context.client(), path, body, retry);
    } else {
      thread.execute(() -> attempt.send(context.client(), path, body, retry));
    }
  }

  private boolean reserve(UpstreamSlots upstream) {
    return context.strikeIsolation().tryReserve(upstream.id(), request.digest());
  }

  private synchronized Optional<ModelAttempt> beginAttempt(UpstreamSlots upstream) {
    if (ended) {
      return Optional.empty();
    }
    attemptCount++;
    String id = request.id() + "." + attemptCount;
    long nowMillis = context.clock().getAsLong();
    currentAttempt = Optional.of(new ModelAttempt(id, upstream, receivedTokens, nowMillis, this));
    return currentAttempt;
  }

  private synchronized boolean isFirstAttempt() {
    return attemptCount == 1;
  }

  private String upstreamRequestBody() {
    ObjectNode body = request.json().deepCopy();
    body.put("stream", true);
    body.put("model", request.pool().name());
    body.put("user", request.account().getName());
    return body.toString();
  }

  private int estimatedPromptTokens() {
    return Math.max(1, request.body().length / CHARACTERS_PER_TOKEN);
  }

  private void charge(long tokens) {
    if (tokens == 0) {
      return;
    }
    context.serviceCounters().add(account(), tokens);
    context.metrics().countTokens(request.account().getName(), tokens);
    pool.addService(account(), tokens);
  }

  @Override
  public void onChunks(ModelAttempt attempt, List<ResponseChunk> chunks) {
    boolean firstToken;
    int tokensToCharge;
    synchronized (this) {
      if (ended || !isCurrent(attempt)) {
        return;
      }
      firstToken = receivedTokens == 0;
      int tokens = (int) chunks.stream().filter(ResponseChunk::isToken).count();
      receivedTokens += tokens;
      unchargedTokens += tokens;
      tokensToCharge = unchargedTokens < CHARGE_BATCH_TOKENS ? 0 : resetUnchargedTokens();
      responseWriter.append(chunks);
    }
    responseWriter.flush();
    if (firstToken) {
      long elapsedMillis = context.clock().getAsLong() - request.receivedAtMillis();
      context.metrics().observeFirstToken(request.workClass().getName(), elapsedMillis / 1e3);
    }
    charge(tokensToCharge);
  }

  private synchronized int resetUnchargedTokens() {
    int tokens = unchargedTokens;
    unchargedTokens = 0;
    return tokens;
  }

  private boolean isCurrent(ModelAttempt attempt) {
    return currentAttempt.filter(a -> a == attempt).isPresent();
  }

  @Override
  public void onEnded(
      ModelAttempt attempt, AttemptOutcome outcome, boolean written, TokenUsage usage) {
    synchronized (this) {
      if (!isCurrent(attempt)) {
        return;
      }
      currentAttempt = Optional.empty();
      mayHaveReachedUpstream |= written;
      countFailure(outcome);
    }
    charge(resetUnchargedTokens());
    long nowMillis = context.clock().getAsLong();
    String upstreamId = attempt.upstream().id();
    context.metrics().countAttempt(outcome.name());
    context.strikeIsolation().release(upstreamId, request.digest());
    if (outcome == AttemptOutcome.NOT_CONNECTED) {
      pool.blockUpstream(upstreamId);
    }
    pool.releaseSlot(this);
    if (outcome == AttemptOutcome.WHOLE) {
      onComplete(attempt, usage, nowMillis);
    } else if (outcome == AttemptOutcome.PREEMPTED) {
      DecisionLog.preempted(request, upstreamId, attempt.id());
      pool.submit(this);
    } else {
      onFailed(attempt, outcome, nowMillis);
    }
  }

  /**
   * A failed connection does not count, because the upstream received nothing and is blocked in the
   * pool. Neither does a preemption.
   */
  private void countFailure(AttemptOutcome outcome) {
    if (outcome != AttemptOutcome.NOT_CONNECTED && outcome != AttemptOutcome.PREEMPTED) {
      failureCount++;
    }
  }

  private void onComplete(ModelAttempt attempt, TokenUsage usage, long nowMillis) {
    context.strikes().clear(request.digest());
    context
        .holdingTimes()
        .observe(
            request.pool(), request.workClass().getName(), nowMillis - attempt.startedAtMillis());
    if (tryEnd()) {
      charge(Math.max(0, usage.promptTokens() - estimatedPromptTokens()));
      responseWriter.complete(usage);
      context.metrics().countAnswer(request.workClass().getName(), "whole");
      long elapsedMillis = nowMillis - request.receivedAtMillis();
      DecisionLog.answered(request, attempt.id(), usage.totalTokens(), elapsedMillis);
    }
  }

  private void onFailed(ModelAttempt attempt, AttemptOutcome outcome, long nowMillis) {
    UpstreamSlots upstream = attempt.upstream();
    exclusions.exclude(upstream.id(), nowMillis);
    if (outcome == AttemptOutcome.BROKEN || outcome == AttemptOutcome.STALLED) {
      context.client().closeIdleConnections(upstream.address());
    }
    if (outcome == AttemptOutcome.BROKEN) {
      context.strikes().recordStrike(request.digest(), nowMillis);
      context.onStrike().accept(request.digest());
    }
    DecisionLog.attemptFailed(request, upstream.id(), attempt.id(), outcome.name());
    if (outcome != AttemptOutcome.CANCELLED) {
      retryOrFail(outcome, nowMillis);
    }
  }

  private synchronized int receivedTokens() {
    return receivedTokens;
  }

  private void retryOrFail(AttemptOutcome outcome, long nowMillis) {
    long quarantineMillis = context.strikes().refusedForMillis(request.digest(), nowMillis);
    if (quarantineMillis > 0) {
      int retryAfterSeconds = (int) (quarantineMillis / 1_000) + 1;
      fail(Problems.quarantined(runState(), retryAfterSeconds).problem());
      return;
    }
    if (nowMillis >= request.deadlineMillis()) {
      fail(Problems.deadlineExceeded(runState()).problem());
      return;
    }
    if (outcome != AttemptOutcome.NOT_CONNECTED && !mayRetry()) {
      fail(Problems.upstreamFailed(runState(), outcome.name()).problem());
      return;
    }
    int maxBackoffMillis = INITIAL_BACKOFF_MILLIS << failureCount();
    int backoffMillis = ThreadLocalRandom.current().nextInt(maxBackoffMillis);
    context.scheduler().schedule(() -> pool.submit(this), backoffMillis, TimeUnit.MILLISECONDS);
  }

  private boolean mayRetry() {
    return failureCount() < MAX_ATTEMPTS && context.retryBudgets().tryAcquire(account());
  }

  private synchronized int failureCount() {
    return failureCount;
  }

  private synchronized RunState runState() {
    if (receivedTokens > 0) {
      return RunState.RUN;
    }
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
    if (tryEnd()) {
      responseWriter.fail(problem);
    }
  }

  private void onCallerDisconnected() {
    if (tryEnd()) {
      context.metrics().countAnswer(request.workClass().getName(), "caller-gone");
      pool.cancel(this);
      cancelAttempt(AttemptOutcome.CANCELLED);
    }
  }

  private void cancelAttempt(AttemptOutcome outcome) {
    Optional<ModelAttempt> attempt;
    synchronized (this) {
      attempt = currentAttempt;
    }
    attempt.ifPresent(a -> a.cancel(outcome));
  }

  @Override
  public void checkTimeouts(long nowMillis) {
    Optional<ModelAttempt> attempt;
    synchronized (this) {
      attempt = currentAttempt;
    }
    if (attempt.isEmpty()) {
      checkQueueTimeout(nowMillis);
    } else if (nowMillis >= request.deadlineMillis()) {
      fail(Problems.deadlineExceeded(runStateOfRunningAttempt()).problem());
      cancelAttempt(AttemptOutcome.CANCELLED);
    } else if (nowMillis - attempt.get().lastDataAtMillis() > stallTimeoutMillis(attempt.get())) {
      cancelAttempt(AttemptOutcome.STALLED);
    }
  }

  private long stallTimeoutMillis(ModelAttempt attempt) {
    return attempt.hasReceivedEvent()
        ? context.stallMillis()
        : Math.max(context.stallMillis(), request.workClass().getFirstTokenMillis());
  }

  /** Assumes that the running attempt has already reached its upstream. */
  private synchronized RunState runStateOfRunningAttempt() {
    mayHaveReachedUpstream = true;
    return runState();
  }

  private void checkQueueTimeout(long nowMillis) {
    boolean deadlineExceeded = nowMillis >= request.deadlineMillis();
    boolean firstTokenLate =
        receivedTokens() == 0 && nowMillis >= request.firstTokenDeadlineMillis();
    if ((deadlineExceeded || firstTokenLate) && pool.cancel(this)) {
      DecisionLog.waitTimedOut(request, pool.slotUsage());
      fail(
          runState() == RunState.NOT_RUN
              ? Problems.targetCannotBeMet(
                      deadlineExceeded ? "the whole answer" : "the first token", 1)
                  .problem()
              : Problems.deadlineExceeded(runState()).problem());
    }
  }
}
