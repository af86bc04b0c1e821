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
 * A model request from its queue to its final answer, over one or more attempts.
 *
 * <p>Invariants: at most one attempt runs at a time; the caller gets exactly one whole answer or
 * one problem; each slot taken is given back once. Thread-safe: state changes under the object's
 * lock, and calls to other objects are made after it was released.
 */
final class ModelRequest implements RelayedRequest, ModelAttempt.Listener {

  private static final int MAX_ATTEMPTS = 5;
  private static final int BACKOFF_MILLIS = 40;

  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int TOKENS_CHARGED_TOGETHER = 8;

  private final CallerRequest request;
  private final RouterPool pool;
  private final RelayContext context;
  private final RequestWatch watch;
  private final AnswerWriter answer;
  private final UpstreamExclusions exclusions = new UpstreamExclusions();
  private Optional<ModelAttempt> running = Optional.empty();
  private boolean ended;
  private boolean everWritten;
  private int startedAttempts;
  private int failedAttempts;
  private int parts;
  private int unchargedTokens;

  ModelRequest(CallerRequest request, RouterPool pool, RelayContext context, RequestWatch watch) {
    this.request = request;
    this.pool = pool;
    this.context = context;
    this.watch = watch;
    this.answer =
        request.isStreamed()
            ? new EventStreamWriter(request, context.problems(), this::callerGone)
            : new WholeAnswerWriter(request, context.problems());
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
    if (exclusions.excludes(upstream.id(), context.clock().getAsLong())) {
      return false;
    }
    return !isStruck() || context.struckUpstreams().isFree(upstream.id());
  }

  private boolean isStruck() {
    return context.strikes().count(request.digest()) > 0;
  }

  /** A stream that a caller already reads is not stopped in the middle. */
  @Override
  public synchronized boolean isPreemptible() {
    return running.isPresent() && !request.isStreamed() && !ended;
  }

  @Override
  public void preempt() {
    cancelAttempt(AttemptOutcome.PREEMPTED);
  }

  // ---- attempts ----

  @Override
  public void start(SlotAssignment<PooledRequest> assignment) {
    UpstreamSlots upstream = assignment.upstream();
    boolean exclusive = !isStruck() || markStruck(upstream);
    Optional<ModelAttempt> attempt = exclusive ? begin(upstream) : Optional.empty();
    if (attempt.isEmpty()) {
      pool.releaseSlot(this);
      if (!exclusive) {
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
      charge(promptEstimate());
    }
    send(attempt.get());
  }

  /** The attempt runs on the caller's I/O thread, so its parts need no change of thread. */
  private void send(ModelAttempt attempt) {
    String path = request.exchange().getRequestPath();
    String body = upstreamBody();
    boolean retry = failures() > 0;
    XnioIoThread thread = request.exchange().getIoThread();
    if (thread == Thread.currentThread()) {
      attempt.send(context.client(), path, body, retry);
    } else {
      thread.execute(() -> attempt.send(context.client(), path, body, retry));
    }
  }

  private boolean markStruck(UpstreamSlots upstream) {
    return context.struckUpstreams().take(upstream.id(), request.digest());
  }

  private synchronized Optional<ModelAttempt> begin(UpstreamSlots upstream) {
    if (ended) {
      return Optional.empty();
    }
    startedAttempts++;
    String id = request.id() + "." + startedAttempts;
    long now = context.clock().getAsLong();
    running = Optional.of(new ModelAttempt(id, upstream, parts, now, this));
    return running;
  }

  private synchronized boolean isFirstAttempt() {
    return startedAttempts == 1;
  }

  private String upstreamBody() {
    ObjectNode body = request.json().deepCopy();
    body.put("stream", true);
    body.put("model", request.pool().name());
    body.put("user", request.account().getName());
    return body.toString();
  }

  private int promptEstimate() {
    return Math.max(1, request.body().length / CHARACTERS_PER_TOKEN);
  }

  private void charge(long tokens) {
    if (tokens == 0) {
      return;
    }
    context.service().add(account(), tokens);
    context.metrics().served(request.account().getName(), tokens);
    pool.addService(account(), tokens);
  }

  @Override
  public void onParts(ModelAttempt attempt, List<AnswerPart> arrived) {
    boolean first;
    int due;
    synchronized (this) {
      if (ended || !isRunning(attempt)) {
        return;
      }
      first = parts == 0;
      int tokens = (int) arrived.stream().filter(AnswerPart::isToken).count();
      parts += tokens;
      unchargedTokens += tokens;
      due = unchargedTokens < TOKENS_CHARGED_TOGETHER ? 0 : takeUncharged();
      answer.parts(arrived);
    }
    answer.flush();
    if (first) {
      long millis = context.clock().getAsLong() - request.receivedAtMillis();
      context.metrics().firstToken(request.workClass().getName(), millis / 1e3);
    }
    charge(due);
  }

  private synchronized int takeUncharged() {
    int tokens = unchargedTokens;
    unchargedTokens = 0;
    return tokens;
  }

  private boolean isRunning(ModelAttempt attempt) {
    return running.filter(current -> current == attempt).isPresent();
  }

  @Override
  public void onEnded(
      ModelAttempt attempt, AttemptOutcome outcome, boolean written, AnswerUsage usage) {
    synchronized (this) {
      if (!isRunning(attempt)) {
        return;
      }
      running = Optional.empty();
      everWritten |= written;
      count(outcome);
    }
    charge(takeUncharged());
    long now = context.clock().getAsLong();
    String upstream = attempt.upstream().id();
    context.metrics().attempted(outcome.name());
    context.struckUpstreams().free(upstream, request.digest());
    if (outcome == AttemptOutcome.NOT_CONNECTED) {
      pool.blockUpstream(upstream);
    }
    pool.releaseSlot(this);
    if (outcome == AttemptOutcome.WHOLE) {
      whole(attempt, usage, now);
    } else if (outcome == AttemptOutcome.PREEMPTED) {
      DecisionLog.preempted(request, upstream, attempt.id());
      pool.submit(this);
    } else {
      failed(attempt, outcome, now);
    }
  }

  /**
   * A refused connection took nothing to an upstream, which is passed over, so it is no attempt.
   */
  private void count(AttemptOutcome outcome) {
    if (outcome != AttemptOutcome.NOT_CONNECTED && outcome != AttemptOutcome.PREEMPTED) {
      failedAttempts++;
    }
  }

  private void whole(ModelAttempt attempt, AnswerUsage usage, long now) {
    context.strikes().clear(request.digest());
    context
        .holdingTimes()
        .observe(request.pool(), request.workClass().getName(), now - attempt.startedAtMillis());
    if (end()) {
      charge(Math.max(0, usage.promptTokens() - promptEstimate()));
      answer.end(usage);
      context.metrics().answered(request.workClass().getName(), "whole");
      long millis = now - request.receivedAtMillis();
      DecisionLog.answered(request, attempt.id(), usage.total(), millis);
    }
  }

  private void failed(ModelAttempt attempt, AttemptOutcome outcome, long now) {
    UpstreamSlots upstream = attempt.upstream();
    exclusions.add(upstream.id(), now);
    if (outcome == AttemptOutcome.BROKEN || outcome == AttemptOutcome.STALLED) {
      context.client().closeIdleConnections(upstream.address());
    }
    if (outcome == AttemptOutcome.BROKEN) {
      context.strikes().recordStrike(request.digest(), now);
    }
    DecisionLog.attemptFailed(request, upstream.id(), attempt.id(), outcome.name());
    if (outcome != AttemptOutcome.CANCELLED) {
      retryOrFail(outcome, now);
    }
  }

  private synchronized int parts() {
    return parts;
  }

  private void retryOrFail(AttemptOutcome outcome, long now) {
    long refusedFor = context.strikes().refusedForMillis(request.digest(), now);
    if (refusedFor > 0) {
      context.onQuarantine().accept(request.digest());
      int seconds = (int) (refusedFor / 1_000) + 1;
      fail(Problems.quarantined(runState(), seconds).problem());
      return;
    }
    if (now >= request.deadlineMillis()) {
      fail(Problems.timedOut(runState()).problem());
      return;
    }
    if (outcome != AttemptOutcome.NOT_CONNECTED && !mayRetry()) {
      fail(Problems.upstreamFailed(runState(), outcome.name()).problem());
      return;
    }
    int bound = BACKOFF_MILLIS << failures();
    int pause = ThreadLocalRandom.current().nextInt(bound);
    context.timers().schedule(() -> pool.submit(this), pause, TimeUnit.MILLISECONDS);
  }

  private boolean mayRetry() {
    return failures() < MAX_ATTEMPTS && context.budgets().tryRetry(account());
  }

  private synchronized int failures() {
    return failedAttempts;
  }

  private synchronized RunState runState() {
    if (parts > 0) {
      return RunState.RUN;
    }
    return everWritten ? RunState.UNKNOWN : RunState.NOT_RUN;
  }

  // ---- end ----

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
    if (end()) {
      answer.fail(problem);
    }
  }

  private void callerGone() {
    if (end()) {
      context.metrics().answered(request.workClass().getName(), "caller-gone");
      pool.cancel(this);
      cancelAttempt(AttemptOutcome.CANCELLED);
    }
  }

  private void cancelAttempt(AttemptOutcome outcome) {
    Optional<ModelAttempt> current;
    synchronized (this) {
      current = running;
    }
    current.ifPresent(attempt -> attempt.cancel(outcome));
  }

  @Override
  public void checkTimeouts(long now) {
    Optional<ModelAttempt> current;
    synchronized (this) {
      current = running;
    }
    if (current.isEmpty()) {
      checkWaiting(now);
    } else if (now >= request.deadlineMillis()) {
      fail(Problems.timedOut(runStateWhileRunning()).problem());
      cancelAttempt(AttemptOutcome.CANCELLED);
    } else if (now - current.get().lastEventAtMillis() > allowedSilence(current.get())) {
      cancelAttempt(AttemptOutcome.STALLED);
    }
  }

  private long allowedSilence(ModelAttempt attempt) {
    return attempt.isAnswering()
        ? context.stallMillis()
        : Math.max(context.stallMillis(), request.workClass().getFirstTokenMillis());
  }

  /** An attempt under way may have reached its upstream already. */
  private synchronized RunState runStateWhileRunning() {
    everWritten = true;
    return runState();
  }

  private void checkWaiting(long now) {
    boolean late = now >= request.deadlineMillis();
    boolean noFirstToken = parts() == 0 && now >= request.firstTokenDeadlineMillis();
    if ((late || noFirstToken) && pool.cancel(this)) {
      DecisionLog.waitedInVain(request, pool.slotUsage());
      fail(
          runState() == RunState.NOT_RUN
              ? Problems.tooLate(late ? "the whole answer" : "the first token", 1).problem()
              : Problems.timedOut(runState()).problem());
    }
  }
}
