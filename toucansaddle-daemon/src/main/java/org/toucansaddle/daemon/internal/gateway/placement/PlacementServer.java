package org.toucansaddle.daemon.internal.gateway.placement;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.placement.OtherLoad;
import org.toucansaddle.coordination.placement.PlacementDecision;
import org.toucansaddle.coordination.placement.PlacementDecision.Granted;
import org.toucansaddle.coordination.placement.PlacementDecision.Refused;
import org.toucansaddle.coordination.placement.PlacementRequest;
import org.toucansaddle.coordination.placement.PlacementRequest.PromptPart;
import org.toucansaddle.coordination.placement.Placer;
import org.toucansaddle.coordination.placement.PoolCapacity;
import org.toucansaddle.coordination.placement.PoolUpstream;
import org.toucansaddle.daemon.gateway.ServiceDefinition;
import org.toucansaddle.daemon.gateway.ServiceDefinition.EngineCapacity;
import org.toucansaddle.daemon.internal.gateway.routing.RouterState;
import org.toucansaddle.daemon.internal.gateway.routing.RoutingView;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;
import org.toucansaddle.protocol.generated.PlacementAnswer;
import org.toucansaddle.protocol.generated.PlacementAnswer.Refusal;
import org.toucansaddle.protocol.generated.PlacementAsk;
import org.toucansaddle.protocol.generated.PlacementMessage;
import org.toucansaddle.protocol.generated.PlacementReply;
import org.toucansaddle.protocol.generated.PlacementStart;
import org.toucansaddle.protocol.generated.UpstreamWork;

/**
 * Server of the Place call: one placer for each service whose upstreams are engines.
 *
 * <p>Any control daemon places for the routers that ask it; they all ask the same one unless they
 * disagree on which daemons are live. Thread-safe.
 */
public final class PlacementServer {

  private static final Logger LOG = LoggerFactory.getLogger(PlacementServer.class);

  /** Time without a message after which a router's stream is closed: six reports. */
  private static final long REPORT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  /** Prompt tokens that an engine reads in the time in which it serves one token. */
  private static final double READ_TO_SERVED_RATIO = 2;

  private static final double DEFAULT_READ_TOKENS_PER_MILLI = 25;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final RouterState state;
  private final LongSupplier clock;
  private final Map<String, Placer> placers = new ConcurrentHashMap<>();
  private final Map<String, RouterStream> streams = new ConcurrentHashMap<>();
  private final AtomicLong lastStream = new AtomicLong();
  private final AtomicLong lastGrant = new AtomicLong();

  /**
   * Creates a server.
   *
   * @param state follows the control daemons, for the configuration and the upstreams
   * @param clock supplies nanoseconds
   */
  public PlacementServer(RouterState state, LongSupplier clock) {
    this.state = state;
    this.clock = clock;
  }

  /** Accepts a router's stream. */
  public StreamObserver<PlacementMessage> place(StreamObserver<PlacementReply> replies) {
    return new RouterStream(replies);
  }

  /** Returns whether a router has asked since the start. */
  public boolean isUsed() {
    return lastStream.get() > 0;
  }

  /** Returns the number of requests that wait for slots. */
  public int waitingCount() {
    return placers.values().stream().mapToInt(Placer::waitingCount).sum();
  }

  /** Returns the number of slots granted and not given back. */
  public int grantedCount() {
    return placers.values().stream().mapToInt(Placer::grantedCount).sum();
  }

  /** Refuses requests that waited too long; called many times a second. */
  public void expire() {
    placers.values().forEach(placer -> placer.expire(clock.getAsLong()));
    sendAnswers();
  }

  /** Follows changes of upstreams and configuration; called several times a second. */
  public void refresh() {
    state.view().ifPresent(view -> view.document().services().forEach(s -> refresh(view, s)));
    long now = clock.getAsLong();
    for (RouterStream stream : streams.values()) {
      if (now - stream.lastMessageAt > REPORT_TIMEOUT_NANOS) {
        LOG.info("placement: router {} is silent", stream.key);
        stream.close(Status.UNAVAILABLE.withDescription("silent"));
      }
    }
  }

  private void refresh(RoutingView view, ServiceDefinition service) {
    if (service.engine().isEmpty()) {
      placers.remove(service.name());
      return;
    }
    EngineCapacity engine = service.engine().get();
    List<PoolUpstream> upstreams = new ArrayList<>();
    for (Upstream upstream : state.usableUpstreams(service.name(), true)) {
      int slots = upstream.report().slots() > 0 ? upstream.report().slots() : engine.slots();
      upstreams.add(
          new PoolUpstream(upstream.id(), upstream.incarnation(), upstream.report().zone(), slots));
    }
    double served = view.tokensPerSecond() / MILLIS_PER_SECOND / Math.max(1, upstreams.size());
    double read = served > 0 ? READ_TO_SERVED_RATIO * served : DEFAULT_READ_TOKENS_PER_MILLI;
    placers
        .computeIfAbsent(
            service.name(),
            name ->
                Placer.create(this::decided, lastGrant::incrementAndGet, new SplittableRandom()))
        .updatePool(
            upstreams, new PoolCapacity(view.tokensPerSecond(), read, engine.memoryTokens()));
  }

  private void decided(PlacementRequest request, PlacementDecision decision) {
    RouterStream stream = streams.get(request.router());
    if (stream != null) {
      stream.addAnswer(encode(request, decision));
    }
  }

  private static PlacementAnswer encode(PlacementRequest request, PlacementDecision decision) {
    PlacementAnswer.Builder answer = PlacementAnswer.newBuilder().setAsk(request.id());
    if (decision instanceof Granted granted) {
      answer
          .setGrant(granted.grant())
          .setUpstream(granted.upstream())
          .setReadTokens(granted.readTokens())
          .setQueueMillis((float) granted.queueMillis())
          .setFirstTokenMillis((float) granted.firstTokenMillis());
    } else if (decision instanceof Refused refused) {
      answer
          .setRefusal(encode(refused.reason()))
          .setRetryAfterMillis((int) refused.retryAfterMillis())
          .setAccountTokens((float) refused.accountTokens())
          .setShareTokens((float) refused.shareTokens())
          .setFirstTokenMillis((float) refused.firstTokenMillis());
    }
    return answer.build();
  }

  private static Refusal encode(PlacementDecision.Reason reason) {
    return switch (reason) {
      case ABOVE_SHARE -> Refusal.ABOVE_SHARE;
      case NO_SLOT -> Refusal.NO_SLOT;
      case TOO_LATE -> Refusal.TOO_LATE;
    };
  }

  /** Returns whether all numbers are positive and fit; fields on the wire are unsigned. */
  private static boolean isValid(PlacementAsk ask) {
    return ask.getPromptTokens() >= 0
        && ask.getOutputTokens() >= 0
        && ask.getTargetMillis() > 0
        && ask.getRemainingMillis() >= 0
        && ask.getSharedPartsList().stream().allMatch(part -> part.getTokens() >= 0);
  }

  private void sendAnswers() {
    streams.values().forEach(RouterStream::sendAnswers);
  }

  /** Stream of one router. */
  private final class RouterStream implements StreamObserver<PlacementMessage> {
    private final StreamObserver<PlacementReply> replies;
    private final String key = "stream-" + lastStream.incrementAndGet();
    private volatile long lastMessageAt = clock.getAsLong();
    private final List<PlacementAnswer> answers = new ArrayList<>();
    private String router = "";
    private long lastSequence;
    private boolean acknowledge;
    private boolean closed;

    RouterStream(StreamObserver<PlacementReply> replies) {
      this.replies = replies;
    }

    @Override
    public void onNext(PlacementMessage message) {
      long now = clock.getAsLong();
      lastMessageAt = now;
      if (router.isEmpty()) {
        router = message.getRouter();
        streams.put(key, this);
        LOG.info("placement: router {} asks on {}", router, key);
      }
      if (message.getHasOtherWork()) {
        Map<String, OtherLoad> loads = decodeLoads(message.getOtherWorkList());
        placers.values().forEach(placer -> placer.updateOtherLoad(key, loads));
      }
      for (PlacementStart start : message.getStartedList()) {
        placers.values().forEach(p -> p.recordStart(key, start.getGrant(), start.getMillis(), now));
      }
      for (long grant : message.getEndedList()) {
        placers.values().forEach(placer -> placer.recordEnd(key, grant, now));
      }
      for (long ask : message.getCancelledList()) {
        placers.values().forEach(placer -> placer.cancel(key, ask, now));
      }
      message.getAsksList().forEach(ask -> ask(ask, message.getZone(), now));
      synchronized (this) {
        lastSequence = message.getSequence();
        acknowledge |= message.getAsksCount() > 0 || message.getProbe();
      }
      PlacementServer.this.sendAnswers();
    }

    private static Map<String, OtherLoad> decodeLoads(List<UpstreamWork> works) {
      Map<String, OtherLoad> loads = new HashMap<>();
      for (UpstreamWork work : works) {
        loads.put(
            work.getUpstream(),
            new OtherLoad(work.getRequests(), work.getPendingTokens(), work.getMemoryTokens()));
      }
      return loads;
    }

    private void ask(PlacementAsk ask, String zone, long now) {
      Placer placer = placers.get(ask.getService());
      boolean valid = isValid(ask);
      if (!valid) {
        LOG.warn(
            "placement: malformed ask={} router={} service={} prompt={} target_ms={}"
                + " outcome=undecided",
            ask.getId(),
            router,
            ask.getService(),
            ask.getPromptTokens(),
            ask.getTargetMillis());
      }
      if (placer == null || !valid) {
        addAnswer(PlacementAnswer.newBuilder().setAsk(ask.getId()).build());
        return;
      }
      List<PromptPart> parts =
          ask.getSharedPartsList().stream()
              .map(part -> new PromptPart(part.getId(), part.getTokens()))
              .toList();
      placer.ask(
          new PlacementRequest(
              key,
              ask.getId(),
              zone,
              ask.getAccount(),
              ask.getPromptTokens(),
              ask.getOutputTokens(),
              parts,
              ask.getTargetMillis(),
              ask.getRemainingMillis(),
              ask.getReturned(),
              Set.copyOf(ask.getExcludedList())),
          now);
    }

    synchronized void addAnswer(PlacementAnswer answer) {
      answers.add(answer);
    }

    synchronized void sendAnswers() {
      if (closed || (answers.isEmpty() && !acknowledge)) {
        return;
      }
      replies.onNext(
          PlacementReply.newBuilder().setAcknowledged(lastSequence).addAllAnswers(answers).build());
      answers.clear();
      acknowledge = false;
    }

    void close(Status status) {
      remove();
      synchronized (this) {
        closed = true;
        replies.onError(status.asRuntimeException());
      }
    }

    private void remove() {
      if (streams.remove(key) != null) {
        placers.values().forEach(placer -> placer.removeRouter(key, clock.getAsLong()));
        PlacementServer.this.sendAnswers();
      }
    }

    @Override
    public void onError(Throwable failure) {
      LOG.info("placement: stream of router {} ended: {}", router, failure.getMessage());
      remove();
    }

    @Override
    public void onCompleted() {
      remove();
      synchronized (this) {
        if (!closed) {
          closed = true;
          replies.onCompleted();
        }
      }
    }
  }
}
