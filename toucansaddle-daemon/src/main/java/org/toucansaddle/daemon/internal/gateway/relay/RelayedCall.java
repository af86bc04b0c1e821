package org.toucansaddle.daemon.internal.gateway.relay;

import com.dynatrace.hash4j.hashing.Hashing;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.nio.ByteBuffer;
import java.util.ArrayList;
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
import org.toucansaddle.daemon.internal.gateway.relay.Placement.Choice;
import org.toucansaddle.daemon.internal.gateway.relay.Placement.EngineLimits;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamConnections.Connection;
import org.toucansaddle.daemon.internal.gateway.routing.AccountShares.Judgement;
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

  private static final HttpString LAST_EVENT_ID = new HttpString("Last-Event-Id");

  /** Time left below which no upstream is asked, in milliseconds: it could not answer in time. */
  private static final long LEAST_LEFT_MILLIS = 20;

  /** Silence of a stream, or before its first event, after which another upstream goes on. */
  private static final long STALL_MILLIS = 1_500;

  /** Part of a route's target that a prompt may be expected to wait. */
  private static final double MAX_WAIT_OF_TARGET = 0.9;

  /** Utilisation of the engines below which shares do not matter. */
  private static final double SPARE_UTILISATION = 0.8;

  /** Part of a route's target that may stand before a prompt while shares do not matter. */
  private static final double SPARE_OF_TARGET = 0.3;

  /** Part of that time which counts as nothing before a prompt. */
  private static final double NOTHING_AHEAD = 0.4;

  /** Part of the time left that a caller who came back may be expected to wait. */
  private static final double MAX_WAIT_OF_TIME = 0.4;

  /** Prompt tokens that an engine reads in the time in which it serves one. */
  private static final double READ_OF_SERVED = 2;

  private static final double DEFAULT_TOKENS_PER_MILLI = 25;

  private static final long MIN_RETRY_AFTER_MILLIS = 100;
  private static final long BUSY_RETRY_AFTER_MILLIS = 400;

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
  private Attempt current;
  private XnioExecutor.Key deadlineTimer;
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
    this.service = pickService(route);
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

  private static String pickService(Route route) {
    int sum = route.services().stream().mapToInt(WeightedService::weight).sum();
    int point = ThreadLocalRandom.current().nextInt(sum);
    for (WeightedService target : route.services()) {
      point -= target.weight();
      if (point < 0) {
        return target.service();
      }
    }
    throw new IllegalStateException("The weights of route " + route.name() + " add up to 0.");
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

  private long leftMillis() {
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
    if (!account.isEmpty() && head.promptTokens() > 0) {
      context.state().shares().asked(account, head.shareTokens());
    }
    deadlineTimer =
        exchange
            .getIoThread()
            .executeAfter(this::deadlinePassed, Math.max(1, leftMillis()), TimeUnit.MILLISECONDS);
    tryUpstream(Refusal.notRun("no-upstream", "No upstream of the service is ready.", 500));
  }

  /** Tries one more upstream; answers with {@code otherwise} if there is none. */
  private void tryUpstream(Refusal otherwise) {
    if (leftMillis() < LEAST_LEFT_MILLIS) {
      deadlinePassed();
      return;
    }
    long now = context.now();
    List<Upstream> usable = new ArrayList<>();
    for (Upstream upstream : context.state().upstreams().ready(service)) {
      if (upstream.isUsable(now) && context.state().isHeard(upstream)) {
        usable.add(upstream);
      }
    }
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
      Optional<Refusal> refusal = admit(choice.get());
      if (refusal.isPresent()) {
        refuse(refusal.get());
        return;
      }
    }
    send(choice.get(), otherwise);
  }

  /** Returns why a request is not sent now, or counts it as admitted. */
  private Optional<Refusal> admit(Choice choice) {
    boolean shared = !account.isEmpty() && head.promptTokens() > 0;
    if (shared && !isSpare(choice)) {
      Judgement found =
          context.state().shares().judge(account, head.shareTokens(), view.tokensPerSecond());
      if (found.above()) {
        return Optional.of(Refusal.aboveShare(found, ComeBack.afterMillis(route.targetMillis())));
      }
    }
    if (!isWorthwhile(choice)) {
      long back = Math.round(Math.max(MIN_RETRY_AFTER_MILLIS, expectedWaitMillis / 2));
      return Optional.of(
          Refusal.notRun("target-cannot-be-met", "All upstreams have long queues.", back));
    }
    if (shared) {
      long work = head.workTokens(choice.toRead());
      context.state().shares().admitted(account, head.shareTokens(), work);
    }
    return Optional.empty();
  }

  /** Nobody waits, whatever their share, while the engines have capacity. */
  private boolean isSpare(Choice choice) {
    return context.state().shares().utilisation(view.tokensPerSecond()) < SPARE_UTILISATION
        && choice.aheadMillis() < SPARE_OF_TARGET * route.targetMillis();
  }

  /**
   * Returns whether a request should be sent now: it meets its target, or coming back would not
   * help since nothing stands before it or its caller has waited already.
   */
  private boolean isWorthwhile(Choice choice) {
    double limit = route.targetMillis() * MAX_WAIT_OF_TARGET;
    if (choice.waitMillis() <= limit || choice.aheadMillis() < limit * NOTHING_AHEAD) {
      return true;
    }
    return head.hasWaited(route) && choice.waitMillis() < leftMillis() * MAX_WAIT_OF_TIME;
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
    Attempt attempt = new Attempt(choice);
    current = attempt;
    upstreamAgeMillis = TimeUnit.NANOSECONDS.toMillis(context.now() - upstream.heardAtNanos());
    reason = choice.reason().name();
    Connection idle = connections.takeIdle(address);
    if (idle != null) {
      attempt.begin(idle);
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
            attempt.begin(connection);
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

  private int connectionShare() {
    int max = view.service(service).map(ServiceDefinition::maxConnections).orElse(0);
    return max == 0 ? Integer.MAX_VALUE : Math.max(2, max / context.state().routers());
  }

  private void deadlinePassed() {
    if (phase == Phase.ENDED) {
      return;
    }
    boolean mayHaveRun = earlierMayHaveRun || (current != null && current.isSent());
    cancelAttempt();
    if (phase == Phase.ANSWERING) {
      breakOff("the time of the request is over");
    } else {
      finish(Refusal.tooLate(mayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN));
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
    Attempt attempt = current;
    current = null;
    if (attempt != null) {
      attempt.cancel();
    }
  }

  private void resume() {
    if (current != null && current.exchangeWithUpstream != null) {
      current.exchangeWithUpstream.resume();
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
    if (deadlineTimer != null) {
      deadlineTimer.remove();
    }
    context.metrics().ended(route.name(), outcome);
    RelayLog.ended(this, status, outcome, detail);
  }

  /** One upstream's turn. */
  private final class Attempt implements UpstreamAttempt.Listener {
    private final Upstream upstream;
    private UpstreamAttempt exchangeWithUpstream;
    private XnioExecutor.Key stallTimer;
    private long lastByteAt;
    private final int toRead;
    private final int memory;
    private final long tokensAhead;
    private long sentAt;
    private boolean promptCounted;
    private boolean counted;
    private boolean relaying;

    Attempt(Choice choice) {
      this.upstream = choice.upstream();
      this.toRead = choice.toRead();
      this.counted = true;
      this.promptCounted = true;
      this.memory = toRead + head.expectedOutputTokens();
      upstream.begun(toRead, memory);
      this.tokensAhead = upstream.pendingTokens();
    }

    void begin(Connection connection) {
      attempts++;
      phase = phase == Phase.STARTING ? Phase.WAITING : phase;
      sentAt = context.now();
      lastByteAt = sentAt;
      exchangeWithUpstream = new UpstreamAttempt(connection, body, this);
      watchStall();
      exchangeWithUpstream.start(request());
    }

    private ClientRequest request() {
      ClientRequest request = new ClientRequest();
      String query = exchange.getQueryString();
      String path = head.path() + (query.isEmpty() ? "" : "?" + query);
      request.setMethod(exchange.getRequestMethod()).setPath(path);
      HeaderMap headers = request.getRequestHeaders();
      context.codec().copyRequest(exchange.getRequestHeaders(), headers);
      context.codec().address(headers, upstream.id(), account, Math.max(1, leftMillis()));
      if (body.length > 0 || exchange.getRequestHeaders().contains(Headers.CONTENT_LENGTH)) {
        headers.put(Headers.CONTENT_LENGTH, body.length);
      }
      if (events != null && events.lastId() >= 0) {
        headers.put(LAST_EVENT_ID, Long.toString(events.lastId()));
      }
      return request;
    }

    /** A stream that may go on elsewhere does so when its upstream falls silent. */
    private void watchStall() {
      if (events == null) {
        return;
      }
      stallTimer =
          exchange
              .getIoThread()
              .executeAfter(this::checkStall, STALL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void checkStall() {
      if (current != this || phase == Phase.ENDED) {
        return;
      }
      long limit = Math.max(STALL_MILLIS, relaying ? 0 : 2L * route.targetMillis());
      long silent = TimeUnit.NANOSECONDS.toMillis(context.now() - lastByteAt);
      if (silent < limit || leftMillis() < STALL_MILLIS || attempts >= route.maxAttempts()) {
        watchStall();
        return;
      }
      exchangeWithUpstream.cancel();
      lost("silent", "silent for " + silent + " ms");
    }

    boolean isSent() {
      return exchangeWithUpstream != null;
    }

    void cancel() {
      release();
      if (exchangeWithUpstream != null) {
        exchangeWithUpstream.cancel();
      }
    }

    void release() {
      promptRead();
      if (counted) {
        counted = false;
        upstream.ended(memory);
      }
      if (stallTimer != null) {
        stallTimer.remove();
      }
    }

    private void promptRead() {
      if (promptCounted) {
        promptCounted = false;
        upstream.promptRead(toRead);
      }
    }

    @Override
    public void onHead(ClientResponse response) {
      HeaderMap headers = response.getResponseHeaders();
      int status = response.getResponseCode();
      upstream.reached();
      if (!context.codec().belongsTo(head.requestId(), headers)) {
        fail("crossed", "the answer belongs to another request");
      } else if (context.codec().isNotExecuted(status, headers)) {
        notExecuted(status);
      } else if (!isWhole(status, headers)) {
        fail("unsealed", "status " + status + " is not the upstream's own answer");
      } else if (phase == Phase.ANSWERING && !isSuccess(status)) {
        fail("status-" + status, "the upstream did not go on with the stream");
      } else if (status >= 500 && mayRepeat()) {
        fail("status-" + status, "the upstream failed");
      } else {
        beginAnswer(status, headers);
      }
    }

    private boolean mayHaveBody(int status) {
      return status != 204 && status != 304 && !exchange.getRequestMethod().equals(Methods.HEAD);
    }

    private static boolean isSuccess(int status) {
      return status >= 200 && status < 300;
    }

    private boolean isWhole(int status, HeaderMap headers) {
      boolean success = isSuccess(status);
      return !headers.contains(Headers.CONTENT_ENCODING)
          && (!success
              || (context.codec().isSealed(headers) && context.codec().namesRequest(headers)));
    }

    private void notExecuted(int status) {
      exchangeWithUpstream.cancel();
      release();
      if (status == 421) {
        upstream.pauseUntil(context.now() + TimeUnit.SECONDS.toNanos(5));
      }
      context.metrics().attempted("not-executed");
      RelayLog.attemptFailed(RelayedCall.this, upstream.id(), "not-executed", "status " + status);
      Refusal otherwise =
          Refusal.notRun(
              "upstream-full", "The upstream did not run the request.", BUSY_RETRY_AFTER_MILLIS);
      again(otherwise, true);
    }

    private void fail(String outcome, String why) {
      exchangeWithUpstream.cancel();
      lost(outcome, why);
    }

    private void lost(String outcome, String why) {
      release();
      if (events != null) {
        events.dropPartial();
      }
      earlierMayHaveRun = true;
      context.metrics().attempted(outcome);
      RelayLog.attemptFailed(RelayedCall.this, upstream.id(), outcome, why);
      Refusal otherwise = Refusal.lost("The upstream's answer was lost: " + why + ".");
      boolean untouched = phase != Phase.ANSWERING || events != null;
      again(otherwise, route.isRepeatable() && untouched);
    }

    private boolean mayRepeat() {
      return phase == Phase.WAITING
          && route.repetition() == Repetition.REPEATABLE
          && attempts < route.maxAttempts();
    }

    private void again(Refusal otherwise, boolean allowed) {
      current = null;
      boolean mayGoOn =
          allowed
              && attempts < route.maxAttempts()
              && !context.state().crashes().isQuarantined(digest);
      boolean budgeted = mayGoOn && context.budget(service).tryRepeat();
      if (budgeted) {
        tryUpstream(otherwise);
      } else {
        refuse(otherwise);
      }
    }

    private void beginAnswer(int status, HeaderMap headers) {
      relaying = true;
      promptReadAtFirstByte();
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

    private void promptReadAtFirstByte() {
      if (!route.isStream()) {
        promptRead();
      }
    }

    @Override
    public boolean onBody(ByteBuffer data) {
      if (current != this || phase == Phase.ENDED) {
        return false;
      }
      lastByteAt = context.now();
      if (promptCounted && toRead > 0) {
        long millis = TimeUnit.NANOSECONDS.toMillis(lastByteAt - sentAt);
        context.speed(service).observed(tokensAhead, nominalSpeed, millis);
      }
      promptRead();
      if (firstByteAt == 0) {
        firstByteAt = lastByteAt;
        context.metrics().firstByte(route.name(), (firstByteAt - begunAt) / 1e9);
      }
      ByteBuffer out = events == null ? data : events.accept(data);
      if (events != null && events.hasGap()) {
        fail("gap", "an event is missing");
        return false;
      }
      return !out.hasRemaining() || answer.write(out);
    }

    @Override
    public void onPause() {
      answer.flush();
    }

    @Override
    public void onEnd() {
      if (current != this || phase == Phase.ENDED) {
        return;
      }
      release();
      current = null;
      context.metrics().attempted("whole");
      context.state().crashes().clear(digest);
      if (events != null && events.hasPartial()) {
        answer.write(ByteBuffer.wrap(events.takePartial()));
      }
      RelayedCall.this.end(exchange.getStatusCode(), "answered", "");
      answer.end();
    }

    @Override
    public void onBroken(String why) {
      if (current != this || phase == Phase.ENDED) {
        return;
      }
      if (!relaying) {
        upstream.unreachable(context.now());
      }
      context.state().crashes().strike(digest, upstream.id());
      lost("broken", why);
    }
  }
}
