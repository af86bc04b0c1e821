package org.toucansaddle.daemon.internal.gateway.relay;

import com.dynatrace.hash4j.hashing.Hashing;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.daemon.gateway.Repetition;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.gateway.ServiceDefinition;
import org.toucansaddle.daemon.gateway.WeightedService;
import org.toucansaddle.daemon.internal.gateway.relay.Admission.Ask;
import org.toucansaddle.daemon.internal.gateway.relay.Placement.Choice;
import org.toucansaddle.daemon.internal.gateway.relay.Placement.EngineLimits;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamConnections.Connection;
import org.toucansaddle.daemon.internal.gateway.routing.RoutingView;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;
import org.toucansaddle.daemon.internal.problem.RunState;
import org.xnio.XnioExecutor;

/**
 * One request on its way: chooses upstreams, decides what may be repeated, relays the answer.
 *
 * <p>Confined to its caller's I/O thread. The caller gets exactly one final answer, at once when it
 * is known; one that cannot be completed ends with its connection.
 */
final class RelayedCall {

  /** Time left below which no upstream is asked, in milliseconds: it could not answer in time. */
  private static final long LEAST_LEFT_MILLIS = 20;

  /** Prompt tokens that an engine reads in the time in which it serves one. */
  private static final double READ_OF_SERVED = 2;

  private static final double DEFAULT_TOKENS_PER_MILLI = 25;

  private static final long BUSY_RETRY_AFTER_MILLIS = 400;

  /** Time before callers of a silent stream leave at which they get a final answer. */
  private static final long BEFORE_CALLERS_LEAVE_MILLIS = 300;

  private static final double NANOS_PER_SECOND = 1e9;

  private enum Phase {
    STARTING,
    WAITING,
    ANSWERING,
    ENDED
  }

  private final RelayContext context;
  private final HttpServerExchange exchange;
  private final RequestHead head;
  private final Route route;
  private final RoutingView view;
  private final String account;
  private final String service;
  private final byte[] body;
  private final long digest;
  private final long begunAt;
  private final long deadlineAt;
  private final Set<String> tried = new HashSet<>();
  private final CallerAnswer answer;
  private final EventSplitter events;

  private Phase phase = Phase.STARTING;
  private CallAttempt current;
  private XnioExecutor.Key timer;
  private int attempts;
  private boolean earlierMayHaveRun;
  private double nominalSpeed;
  private double expectedWaitMillis;
  private long firstByteAt;
  private String lastUpstream = "";
  private String reason = "";
  private long upstreamAgeMillis = -1;

  RelayedCall(
      RelayContext context,
      HttpServerExchange exchange,
      RequestHead head,
      Route route,
      RoutingView view,
      String account,
      byte[] body,
      long begunAt) {
    this.context = context;
    this.exchange = exchange;
    this.head = head;
    this.route = route;
    this.view = view;
    this.account = account;
    this.body = body;
    this.begunAt = begunAt;
    this.deadlineAt = begunAt + TimeUnit.MILLISECONDS.toNanos(head.budgetMillis(route));
    this.service = WeightedService.draw(route.services(), ThreadLocalRandom.current());
    this.digest =
        Hashing.komihash5_0()
            .hashStream()
            .putString(head.host())
            .putString(head.path())
            .putString(account)
            .putByteArray(body)
            .getAsLong();
    this.answer = new CallerAnswer(exchange, this::resume, this::callerGone);
    this.events = route.isStream() && route.resumable() ? new EventSplitter() : null;
  }

  RequestHead head() {
    return head;
  }

  Route route() {
    return route;
  }

  String account() {
    return account;
  }

  long version() {
    return view.document().version();
  }

  int attempts() {
    return attempts;
  }

  String service() {
    return service;
  }

  String lastUpstream() {
    return lastUpstream;
  }

  String reason() {
    return reason;
  }

  long upstreamAgeMillis() {
    return upstreamAgeMillis;
  }

  double expectedWaitMillis() {
    return expectedWaitMillis;
  }

  long ageMillis() {
    return TimeUnit.NANOSECONDS.toMillis(context.now() - begunAt);
  }

  long firstByteMillis() {
    return firstByteAt == 0 ? -1 : TimeUnit.NANOSECONDS.toMillis(firstByteAt - begunAt);
  }

  long leftMillis() {
    return TimeUnit.NANOSECONDS.toMillis(deadlineAt - context.now());
  }

  /** Sends the request to an upstream, or refuses it. */
  void start() {
    if (context.state().crashes().isQuarantined(digest)) {
      refuse(Refusal.notRun("quarantined", "Several upstreams died of this request.", 0));
      return;
    }
    CallerWatch.start(exchange, this::callerGone);
    context.budget(service).request();
    context.admission().arrived(ask());
    long patience = route.callerStallTimeoutMillis() - BEFORE_CALLERS_LEAVE_MILLIS;
    setTimer(route.isStream() ? Math.min(leftMillis(), patience) : leftMillis());
    tryUpstream(Refusal.notRun("no-upstream", "No upstream of the service is ready.", 500));
  }

  private void setTimer(long millis) {
    long wait = Math.max(1, millis);
    timer = exchange.getIoThread().executeAfter(this::timeUp, wait, TimeUnit.MILLISECONDS);
  }

  /** Tries one more upstream; answers with {@code otherwise} if there is none. */
  private void tryUpstream(Refusal otherwise) {
    if (leftMillis() < LEAST_LEFT_MILLIS) {
      giveUp(false);
      return;
    }
    List<Upstream> usable = context.state().usable(service, route.isRepeatable());
    EngineLimits limits = limits(usable.size());
    nominalSpeed = limits.tokensPerMilli();
    Optional<Choice> choice =
        context.placement().choose(usable, head, route.targetMillis(), limits, tried);
    if (choice.isEmpty()) {
      boolean busy = tried.isEmpty() && !usable.isEmpty();
      refuse(
          busy
              ? Refusal.notRun("upstreams-busy", "All upstreams are busy.", BUSY_RETRY_AFTER_MILLIS)
              : otherwise);
      return;
    }
    expectedWaitMillis = choice.get().waitMillis();
    if (phase == Phase.STARTING && attempts == 0) {
      Optional<Refusal> refusal = context.admission().admit(ask(), choice.get());
      if (refusal.isPresent()) {
        refuse(refusal.get());
        return;
      }
    }
    send(choice.get(), otherwise);
  }

  private Ask ask() {
    return new Ask(route, head, account, view.tokensPerSecond(), leftMillis());
  }

  private EngineLimits limits(int engines) {
    long memory =
        view.service(service)
            .flatMap(ServiceDefinition::engine)
            .map(ServiceDefinition.EngineCapacity::memoryTokens)
            .orElse(0L);
    return new EngineLimits(context.speed(service), tokensPerMilli(engines), memory);
  }

  private double tokensPerMilli(int engines) {
    double served = view.tokensPerSecond() / 1_000.0 / Math.max(1, engines);
    return served > 0 ? READ_OF_SERVED * served : DEFAULT_TOKENS_PER_MILLI;
  }

  private void send(Choice choice, Refusal otherwise) {
    Upstream upstream = choice.upstream();
    tried.add(upstream.id());
    lastUpstream = upstream.id();
    String address = upstream.report().address();
    UpstreamConnections connections = context.connections(exchange.getIoThread());
    CallAttempt attempt = new CallAttempt(context, this, exchange, choice, nominalSpeed);
    current = attempt;
    upstreamAgeMillis = TimeUnit.NANOSECONDS.toMillis(context.now() - upstream.heardAtNanos());
    reason = choice.reason().name();
    Connection idle = connections.takeIdle(address);
    if (idle != null) {
      begin(attempt, idle);
      return;
    }
    if (connections.open(address) >= connectionShare()) {
      attempt.release();
      tryUpstream(
          Refusal.notRun(
              "connections-used", "All connections are in use.", BUSY_RETRY_AFTER_MILLIS));
      return;
    }
    connections.connect(
        address,
        connection -> {
          if (phase == Phase.ENDED || current != attempt) {
            connection.release(0);
          } else {
            begin(attempt, connection);
          }
        },
        failure -> {
          upstream.unreachable(context.now());
          context.metrics().attempted("unreachable");
          if (phase != Phase.ENDED && current == attempt) {
            RelayLog.attemptFailed(this, upstream.id(), "unreachable", failure.getMessage());
            attempt.release();
            tryUpstream(otherwise);
          }
        });
  }

  private void begin(CallAttempt attempt, Connection connection) {
    attempts++;
    phase = phase == Phase.STARTING ? Phase.WAITING : phase;
    attempt.begin(connection, body);
  }

  private int connectionShare() {
    int max = view.service(service).map(ServiceDefinition::maxConnections).orElse(0);
    return max == 0 ? Integer.MAX_VALUE : Math.max(2, max / context.state().routers());
  }

  private void timeUp() {
    boolean early = leftMillis() >= LEAST_LEFT_MILLIS;
    if (early && phase == Phase.ANSWERING) {
      setTimer(leftMillis());
    } else {
      giveUp(early);
    }
  }

  /** Answers a caller at last, also one who would leave a silent stream before its deadline. */
  private void giveUp(boolean beforeDeadline) {
    if (phase == Phase.ENDED) {
      return;
    }
    boolean sent = earlierMayHaveRun || (current != null && current.isSent());
    RunState run = sent ? RunState.UNKNOWN : RunState.NOT_RUN;
    cancelAttempt();
    if (phase == Phase.ANSWERING) {
      breakOff("the time of the request is over");
    } else {
      finish(beforeDeadline ? Refusal.silent(run) : Refusal.tooLate(run));
    }
  }

  private void callerGone() {
    if (phase == Phase.ENDED) {
      return;
    }
    cancelAttempt();
    end(0, "caller-gone", "");
  }

  private void cancelAttempt() {
    CallAttempt attempt = current;
    current = null;
    if (attempt != null) {
      attempt.cancel();
    }
  }

  private void resume() {
    if (current != null) {
      current.resume();
    }
  }

  /** Answers a request that no upstream can take now; it may have run before. */
  private void refuse(Refusal refusal) {
    if (phase == Phase.ANSWERING) {
      breakOff(refusal.type());
    } else if (earlierMayHaveRun && refusal.run() == RunState.NOT_RUN) {
      finish(Refusal.lost("The upstream's answer was lost, and no other upstream took over."));
    } else {
      finish(refusal);
    }
  }

  private void finish(Refusal refusal) {
    end(refusal.status(), refusal.type(), refusal.detail());
    GatewayAnswers.send(exchange, head.requestId(), refusal, context.isClosing());
  }

  private void breakOff(String why) {
    end(exchange.getStatusCode(), "broken-off", why);
    answer.abort();
  }

  private void end(int status, String outcome, String detail) {
    phase = Phase.ENDED;
    if (timer != null) {
      timer.remove();
    }
    context.metrics().ended(route.name(), outcome);
    RelayLog.ended(this, status, outcome, detail);
  }

  // ---- what the attempt under way tells ----

  boolean isCurrent(CallAttempt attempt) {
    return current == attempt && phase != Phase.ENDED;
  }

  boolean isAnswering() {
    return phase == Phase.ANSWERING;
  }

  /** Returns whether a broken answer may go on at another upstream. */
  boolean isResumable() {
    return events != null;
  }

  /** Returns whether the request may be taken from an upstream that has not answered. */
  boolean isMovable() {
    return route.isRepeatable() && (phase == Phase.WAITING || isResumable());
  }

  /** Returns the id of the last event that the caller got; -1 if there was none. */
  long lastEventId() {
    return events == null ? -1 : events.lastId();
  }

  boolean hasAttemptLeft() {
    return attempts < route.maxAttempts();
  }

  /** Returns whether a failure of the upstream itself is tried again instead of passed on. */
  boolean mayRepeatFailure() {
    return phase == Phase.WAITING
        && route.repetition() == Repetition.REPEATABLE
        && hasAttemptLeft();
  }

  /** An upstream broke its connection while it had the request. */
  void struck(String upstream) {
    context.state().crashes().strike(digest, upstream);
  }

  /** An upstream said that it did not run the request. */
  void notExecuted(CallAttempt attempt, int status) {
    if (status == HeaderCodec.MISDIRECTED) {
      attempt.upstream().misdirected(context.now());
    }
    context.metrics().attempted("not-executed");
    RelayLog.attemptFailed(this, attempt.upstream().id(), "not-executed", "status " + status);
    String why = "The upstream did not run the request.";
    again(Refusal.notRun("upstream-full", why, BUSY_RETRY_AFTER_MILLIS), true);
  }

  /** An answer was lost; the request may have run. */
  void lost(CallAttempt attempt, String outcome, String why) {
    if (events != null) {
      events.dropPartial();
    }
    earlierMayHaveRun = true;
    context.metrics().attempted(outcome);
    RelayLog.attemptFailed(this, attempt.upstream().id(), outcome, why);
    boolean untouched = phase != Phase.ANSWERING || events != null;
    Refusal otherwise = Refusal.lost("The upstream's answer was lost: " + why + ".");
    again(otherwise, route.isRepeatable() && untouched);
  }

  private void again(Refusal otherwise, boolean allowed) {
    current = null;
    boolean mayGoOn =
        allowed && hasAttemptLeft() && !context.state().crashes().isQuarantined(digest);
    if (mayGoOn && context.budget(service).tryRepeat()) {
      tryUpstream(otherwise);
    } else {
      refuse(otherwise);
    }
  }

  /** An answer begins, or a stream goes on. */
  void answerBegins(int status, HeaderMap headers) {
    if (phase == Phase.ANSWERING) {
      return;
    }
    phase = Phase.ANSWERING;
    exchange.setStatusCode(status);
    context.codec().copyAnswer(headers, exchange.getResponseHeaders());
    String length = headers.getFirst(Headers.CONTENT_LENGTH);
    if (length != null && events == null) {
      exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, length);
    } else if (exchange.isHttp11() && mayHaveBody(status)) {
      // Without it an answer on a connection that closes would end with the connection, so that
      // one which broke off looked complete.
      exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
    }
    if (context.isClosing()) {
      exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
    }
  }

  private boolean mayHaveBody(int status) {
    return status != StatusCodes.NO_CONTENT
        && status != StatusCodes.NOT_MODIFIED
        && !exchange.getRequestMethod().equals(Methods.HEAD);
  }

  /** Passes content on; returns whether there is room for more. */
  boolean answerGoesOn(CallAttempt attempt, ByteBuffer data) {
    if (firstByteAt == 0) {
      firstByteAt = context.now();
      context.metrics().firstByte(route.name(), (firstByteAt - begunAt) / NANOS_PER_SECOND);
    }
    ByteBuffer out = events == null ? data : events.accept(data);
    boolean hasRoom = !out.hasRemaining() || answer.write(out);
    if (events != null && events.hasGap()) {
      attempt.cancel();
      lost(attempt, "gap", "an event is missing");
      return false;
    }
    return hasRoom;
  }

  void flush() {
    answer.flush();
  }

  /** The answer is whole. */
  void answered() {
    current = null;
    context.metrics().attempted("whole");
    context.state().crashes().clear(digest);
    if (events != null && events.hasPartial()) {
      answer.write(ByteBuffer.wrap(events.takePartial()));
    }
    end(exchange.getStatusCode(), "answered", "");
    answer.end();
  }
}
