package org.toucansaddle.daemon.internal.gateway.placement;

import io.grpc.stub.StreamObserver;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.PacedTask.DelayedExecutor;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;
import org.toucansaddle.protocol.generated.PlacementAnswer;
import org.toucansaddle.protocol.generated.PlacementAsk;
import org.toucansaddle.protocol.generated.PlacementMessage;
import org.toucansaddle.protocol.generated.PlacementReply;
import org.toucansaddle.protocol.generated.PlacementStart;
import org.toucansaddle.protocol.generated.UpstreamWork;

/**
 * Asks the control daemon that places requests for slots, on one stream.
 *
 * <p>A few messages with asks are under way at a time; what comes up meanwhile is sent together.
 * While the control daemon does not acknowledge them in time, or there is none, this router decides
 * by itself. What it reports of a grant is lost with the stream; a new stream begins with all that
 * this router has under way. Thread-safe; no callback is called with the lock held.
 */
public final class PlacementClient implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(PlacementClient.class);

  /** Time without an acknowledgement after which this router decides by itself. */
  private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Messages with asks that may be under way. */
  private static final int MAX_UNACKNOWLEDGED = 2;

  /** Longest delay of reports without an ask. */
  private static final long REPORT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private static final int MAX_PENDING_ASKS = 2_000;

  private final String self;
  private final String zone;
  private final Supplier<String> placerAddress;
  private final BiFunction<String, StreamObserver<PlacementReply>, StreamObserver<PlacementMessage>>
      opener;
  private final Supplier<List<Upstream>> upstreams;
  private final DelayedExecutor executor;
  private final LongSupplier clock;

  private Optional<Placing> current = Optional.empty();
  private long lastAsk;

  /**
   * Creates a client without a stream.
   *
   * @param placerAddress supplies the address of the control daemon that places; empty if none does
   * @param opener opens a stream to an address
   * @param upstreams supplies all upstreams
   * @param executor runs actions later
   * @param clock supplies nanoseconds
   */
  public PlacementClient(
      String self,
      String zone,
      Supplier<String> placerAddress,
      BiFunction<String, StreamObserver<PlacementReply>, StreamObserver<PlacementMessage>> opener,
      Supplier<List<Upstream>> upstreams,
      DelayedExecutor executor,
      LongSupplier clock) {
    this.self = self;
    this.zone = zone;
    this.placerAddress = placerAddress;
    this.opener = opener;
    this.upstreams = upstreams;
    this.executor = executor;
    this.clock = clock;
  }

  /** A request that was asked for. */
  public interface Asked {

    /** Withdraws the ask; its callback is not called any more. */
    void cancel();
  }

  /** Returns whether a control daemon answers asks now; if not, this router decides. */
  public synchronized boolean accepts() {
    return current.filter(Placing::accepts).isPresent();
  }

  /**
   * Asks for a slot.
   *
   * @param onAnswer called once, by any thread, with the answer, or empty if this router is to
   *     decide
   */
  public Asked ask(PlacementAsk.Builder ask, Consumer<Optional<PlacementAnswer>> onAnswer) {
    Optional<Placing> placing;
    long id;
    synchronized (this) {
      placing = current.filter(Placing::accepts);
      id = ++lastAsk;
      placing.ifPresent(p -> p.ask(ask.setId(id), onAnswer));
    }
    if (placing.isEmpty()) {
      onAnswer.accept(Optional.empty());
      return () -> {};
    }
    return () -> cancel(placing.get(), id);
  }

  private synchronized void cancel(Placing placing, long id) {
    if (placing.pending.remove(id) != null && isCurrent(placing)) {
      placing.outbox.addCancelled(id);
      placing.requestReport();
    }
  }

  /** Returns the grant of an answer, which must be ended. */
  public synchronized PlacementGrant grant(PlacementAnswer answer, int memoryTokens) {
    return current.map(placing -> placing.grant(answer, memoryTokens)).orElse(PlacementGrant.NONE);
  }

  /** Follows a change of the placing daemon, and reports all requests under way. */
  public void step() {
    String address = placerAddress.get();
    List<Consumer<Optional<PlacementAnswer>>> undecided = List.of();
    synchronized (this) {
      if (current.isPresent() && !current.get().address.equals(address)) {
        undecided = drop(current.get(), "another control daemon places");
      }
      if (current.isEmpty() && !address.isEmpty()) {
        open(address);
      } else {
        current.ifPresent(Placing::reportAll);
      }
    }
    decideLocally(undecided);
  }

  private static void decideLocally(List<Consumer<Optional<PlacementAnswer>>> undecided) {
    undecided.forEach(onAnswer -> onAnswer.accept(Optional.empty()));
  }

  private void open(String address) {
    Placing placing = new Placing(address);
    current = Optional.of(placing);
    placing.messages = opener.apply(address, placing);
    placing.reportAll();
  }

  private boolean isCurrent(Placing placing) {
    return current.isPresent() && current.get() == placing;
  }

  /** Ends a stream; returns the callbacks of the asks that it leaves undecided. */
  private List<Consumer<Optional<PlacementAnswer>>> drop(Placing placing, String reason) {
    LOG.info("placement: control daemon {} no longer places: {}", placing.address, reason);
    current = Optional.empty();
    try {
      placing.messages.onCompleted();
    } catch (IllegalStateException e) {
      LOG.debug("the stream to {} had ended", placing.address, e);
    }
    return placing.takePending();
  }

  private void onEnd(Placing placing, String reason) {
    List<Consumer<Optional<PlacementAnswer>>> undecided = List.of();
    synchronized (this) {
      if (isCurrent(placing)) {
        undecided = drop(placing, reason);
      }
    }
    decideLocally(undecided);
  }

  private void checkSilence(Placing placing) {
    List<Consumer<Optional<PlacementAnswer>>> undecided = List.of();
    synchronized (this) {
      placing.silenceCheckScheduled = false;
      if (isCurrent(placing)) {
        if (placing.isOverdue()) {
          undecided = placing.becomeSilent();
        }
        placing.scheduleSilenceCheck();
      }
    }
    decideLocally(undecided);
  }

  private void onReply(Placing placing, PlacementReply reply) {
    Map<Consumer<Optional<PlacementAnswer>>, PlacementAnswer> answered = new HashMap<>();
    synchronized (this) {
      if (!isCurrent(placing)) {
        return;
      }
      placing.acknowledge(reply.getAcknowledged());
      for (PlacementAnswer answer : reply.getAnswersList()) {
        Consumer<Optional<PlacementAnswer>> onAnswer = placing.pending.remove(answer.getAsk());
        if (onAnswer != null) {
          placing.unclaimed.put(answer.getGrant(), true);
          answered.put(onAnswer, answer);
        } else if (answer.getGrant() != 0) {
          // The request was decided on or withdrawn before the grant arrived.
          placing.outbox.addEnded(answer.getGrant());
          placing.requestReport();
        }
      }
    }
    answered.forEach((onAnswer, answer) -> onAnswer.accept(Optional.of(answer)));
  }

  @Override
  public void close() {
    Optional<Placing> placing;
    synchronized (this) {
      placing = current;
    }
    placing.ifPresent(p -> onEnd(p, "this router closes"));
  }

  /** The stream to one control daemon; guarded by the client's lock. */
  private final class Placing implements StreamObserver<PlacementReply> {
    private final String address;
    private final Map<Long, Consumer<Optional<PlacementAnswer>>> pending = new HashMap<>();
    private final Map<Long, Boolean> unclaimed = new HashMap<>();
    private final Map<Long, UpstreamWork> granted = new HashMap<>();
    private final Map<Long, Long> sentAtBySequence = new HashMap<>();
    private StreamObserver<PlacementMessage> messages;
    private PlacementMessage.Builder outbox = PlacementMessage.newBuilder();
    private long sequence;
    private boolean reportRequested;
    private boolean silenceCheckScheduled;
    private boolean acknowledgedOnce;
    private boolean silent;

    Placing(String address) {
      this.address = address;
    }

    boolean accepts() {
      return acknowledgedOnce && !silent && pending.size() < MAX_PENDING_ASKS;
    }

    void ask(PlacementAsk.Builder ask, Consumer<Optional<PlacementAnswer>> onAnswer) {
      pending.put(ask.getId(), onAnswer);
      outbox.addAsks(ask);
      if (sentAtBySequence.size() < MAX_UNACKNOWLEDGED) {
        send();
      }
    }

    PlacementGrant grant(PlacementAnswer answer, int memoryTokens) {
      if (unclaimed.remove(answer.getGrant()) == null) {
        return PlacementGrant.NONE;
      }
      granted.put(
          answer.getGrant(),
          UpstreamWork.newBuilder()
              .setUpstream(answer.getUpstream())
              .setRequests(1)
              .setPendingTokens(answer.getReadTokens())
              .setMemoryTokens(memoryTokens)
              .build());
      return new StreamGrant(this, answer.getGrant());
    }

    void requestReport() {
      if (!reportRequested) {
        reportRequested = true;
        executor.execute(() -> report(this), REPORT_DELAY_NANOS);
      }
    }

    /** Sends all requests under way that were not granted on this stream, and asks for a sign. */
    void reportAll() {
      Map<String, UpstreamWork> grantedSums = new HashMap<>();
      granted.values().forEach(work -> grantedSums.merge(work.getUpstream(), work, this::add));
      outbox.clearOtherWork().setHasOtherWork(true);
      for (Upstream upstream : upstreams.get()) {
        UpstreamWork mine =
            grantedSums.getOrDefault(upstream.id(), UpstreamWork.getDefaultInstance());
        int requests = upstream.localRequests() - mine.getRequests();
        if (requests > 0) {
          outbox.addOtherWork(
              UpstreamWork.newBuilder()
                  .setUpstream(upstream.id())
                  .setRequests(requests)
                  .setPendingTokens(
                      atLeastZero(upstream.localPendingTokens() - mine.getPendingTokens()))
                  .setMemoryTokens(
                      atLeastZero(upstream.localMemoryTokens() - mine.getMemoryTokens())));
        }
      }
      outbox.setProbe(sentAtBySequence.isEmpty());
      send();
    }

    private static int atLeastZero(long value) {
      return (int) Math.max(0, value);
    }

    private UpstreamWork add(UpstreamWork a, UpstreamWork b) {
      return a.toBuilder()
          .setRequests(a.getRequests() + b.getRequests())
          .setPendingTokens(a.getPendingTokens() + b.getPendingTokens())
          .setMemoryTokens(a.getMemoryTokens() + b.getMemoryTokens())
          .build();
    }

    private void send() {
      PlacementMessage message =
          outbox.setRouter(self).setZone(zone).setSequence(++sequence).build();
      outbox = PlacementMessage.newBuilder();
      if (message.getAsksCount() > 0 || message.getProbe()) {
        sentAtBySequence.put(sequence, clock.getAsLong());
        scheduleSilenceCheck();
      }
      messages.onNext(message);
    }

    /** Schedules the check of the oldest message that is not acknowledged, unless one is due. */
    void scheduleSilenceCheck() {
      if (silenceCheckScheduled || sentAtBySequence.isEmpty()) {
        return;
      }
      silenceCheckScheduled = true;
      long now = clock.getAsLong();
      long oldestAgeNanos =
          sentAtBySequence.values().stream().mapToLong(at -> now - at).max().orElse(0);
      executor.execute(() -> checkSilence(this), Math.max(0, SILENCE_NANOS - oldestAgeNanos));
    }

    boolean isOverdue() {
      long now = clock.getAsLong();
      return sentAtBySequence.values().stream().anyMatch(at -> now - at >= SILENCE_NANOS);
    }

    List<Consumer<Optional<PlacementAnswer>>> becomeSilent() {
      if (!silent) {
        silent = true;
        LOG.info(
            "placement: control daemon {} did not acknowledge in time; {} asks decided here",
            address,
            pending.size());
      }
      sentAtBySequence.clear();
      pending.keySet().forEach(outbox::addCancelled);
      outbox.clearAsks();
      return takePending();
    }

    List<Consumer<Optional<PlacementAnswer>>> takePending() {
      List<Consumer<Optional<PlacementAnswer>>> taken = new ArrayList<>(pending.values());
      pending.clear();
      return taken;
    }

    void acknowledge(long acknowledged) {
      sentAtBySequence.keySet().removeIf(sent -> sent <= acknowledged);
      if (silent || !acknowledgedOnce) {
        LOG.info("placement: control daemon {} places requests", address);
      }
      silent = false;
      acknowledgedOnce = true;
      if (outbox.getAsksCount() > 0 && sentAtBySequence.size() < MAX_UNACKNOWLEDGED) {
        send();
      }
    }

    @Override
    public void onNext(PlacementReply reply) {
      onReply(this, reply);
    }

    @Override
    public void onError(Throwable failure) {
      onEnd(this, String.valueOf(failure.getMessage()));
    }

    @Override
    public void onCompleted() {
      onEnd(this, "the stream ended");
    }
  }

  /** Sends the collected reports unless a message with asks takes them along. */
  private synchronized void report(Placing placing) {
    placing.reportRequested = false;
    if (isCurrent(placing)) {
      PlacementMessage.Builder outbox = placing.outbox;
      if (outbox.getStartedCount() + outbox.getEndedCount() + outbox.getCancelledCount() > 0) {
        placing.send();
      }
    }
  }

  /** A grant of one stream. */
  private final class StreamGrant implements PlacementGrant {
    private final Placing placing;
    private final long number;
    private final AtomicBoolean ended = new AtomicBoolean();

    StreamGrant(Placing placing, long number) {
      this.placing = placing;
      this.number = number;
    }

    @Override
    public void started(long millis) {
      synchronized (PlacementClient.this) {
        UpstreamWork work = placing.granted.get(number);
        if (work != null && isCurrent(placing)) {
          placing.granted.put(number, work.toBuilder().setPendingTokens(0).build());
          placing.outbox.addStarted(
              PlacementStart.newBuilder().setGrant(number).setMillis((int) millis));
          placing.requestReport();
        }
      }
    }

    @Override
    public void ended() {
      if (!ended.compareAndSet(false, true)) {
        return;
      }
      synchronized (PlacementClient.this) {
        placing.granted.remove(number);
        if (isCurrent(placing)) {
          placing.outbox.addEnded(number);
          placing.requestReport();
        }
      }
    }
  }
}
