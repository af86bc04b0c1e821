package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.gateway.DocumentException;
import org.toucansaddle.daemon.gateway.DocumentFormat;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.StoredDocument;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.internal.gateway.control.DocumentCodec;
import org.toucansaddle.daemon.internal.gateway.routing.HangDetector.RequestCounts;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.FollowerReport;
import org.toucansaddle.protocol.generated.UpstreamMessage;
import org.toucansaddle.protocol.generated.UpstreamWork;

/**
 * What one router knows, fed by the control daemons it follows.
 *
 * <p>The configuration only moves to higher versions. Thread-safe; requests read immutable views
 * without a lock.
 */
public final class RouterState {

  private static final Logger LOG = LoggerFactory.getLogger(RouterState.class);

  /** Stuck requests, faded, below which an upstream without requests is not told of. */
  private static final double LEAST_STUCK_TOLD = 0.05;

  private final DocumentFormat format;
  private final LongSupplier clock;
  private final long silenceNanos;
  private final UpstreamTable upstreams = new UpstreamTable();
  private final AccountShares shares;
  private final RequestQuarantine crashes;
  private final AtomicReference<Optional<RoutingView>> view =
      new AtomicReference<>(Optional.empty());
  private final Map<String, Long> toldAt = new ConcurrentHashMap<>();
  private volatile boolean confirmed;
  private volatile int routers = 1;
  private volatile long upstreamsCompleteAt;

  /**
   * Creates the state of a router that knows nothing.
   *
   * @param silenceMillis time without a report after which an upstream is passed over
   * @param clock gives nanoseconds
   */
  public RouterState(DocumentFormat format, int silenceMillis, LongSupplier clock) {
    this.format = format;
    this.silenceNanos = TimeUnit.MILLISECONDS.toNanos(silenceMillis);
    this.clock = clock;
    this.shares = new AccountShares(clock);
    this.crashes = new RequestQuarantine(clock);
  }

  /** Returns the configuration in force, once there is one that a quorum confirmed. */
  public Optional<RoutingView> view() {
    return confirmed ? view.get() : Optional.empty();
  }

  /** Returns the version that this router holds; 0 for none. */
  public long version() {
    return view.get().map(v -> v.document().version()).orElse(0L);
  }

  /** Returns the upstreams. */
  public UpstreamTable upstreams() {
    return upstreams;
  }

  /** Returns the shares of client accounts. */
  public AccountShares shares() {
    return shares;
  }

  /** Returns which upstreams died of which requests. */
  public RequestQuarantine quarantine() {
    return crashes;
  }

  /** Returns the number of routers, as last told; at least 1. */
  public int routers() {
    return routers;
  }

  /** Returns whether requests can be served. */
  public boolean isInitialized() {
    return confirmed && view.get().isPresent() && upstreamsCompleteAt != 0;
  }

  /**
   * Returns the upstreams of a service that a new request may go to; those that hang with requests
   * only if they are more than half of them.
   *
   * @param repeatable whether the request may be taken from an upstream that hangs
   */
  public List<Upstream> usableUpstreams(String service, boolean repeatable) {
    long now = clock.getAsLong();
    List<Upstream> usable = new ArrayList<>();
    List<Upstream> notStuck = new ArrayList<>();
    List<Upstream> sound = new ArrayList<>();
    for (Upstream upstream : upstreams.ready(service)) {
      if (upstream.isUsable(now) && isHeard(upstream)) {
        usable.add(upstream);
        if (!upstream.hangDetector().isPaused(now)) {
          notStuck.add(upstream);
          if (repeatable || !upstream.hangDetector().isOnProbation(now)) {
            sound.add(upstream);
          }
        }
      }
    }
    if (sound.size() * 2 >= usable.size()) {
      return sound;
    }
    return notStuck.size() * 2 >= usable.size() ? notStuck : usable;
  }

  /** Returns whether an upstream was heard lately, or could not have been heard. */
  private boolean isHeard(Upstream upstream) {
    long newest = 0;
    long now = clock.getAsLong();
    for (long at : toldAt.values()) {
      newest = newest == 0 ? at : Math.max(newest, at);
    }
    long since = newest == 0 ? now : newest;
    return upstream.hasReportedAfter(since - silenceNanos);
  }

  /** Takes a document that a quorum confirmed to be the newest. */
  public void applyConfirmed(StoredDocument document) {
    applyIfNewer(document);
    confirmed = true;
  }

  /** Takes a document, if it is newer and can be read. */
  public synchronized void applyIfNewer(StoredDocument document) {
    if (document.version() <= version()) {
      return;
    }
    try {
      FleetDocument read = format.read(document.content());
      view.set(Optional.of(new RoutingView(read)));
      LOG.info("configuration {} in force, {} routes", read.version(), read.routes().size());
    } catch (DocumentException e) {
      LOG.error("configuration {} cannot be read: {}", document.version(), e.getMessage());
    }
  }

  /** Takes an update of a control daemon. */
  public void update(String source, FleetUpdate update) {
    long now = clock.getAsLong();
    toldAt.put(source, now);
    if (update.hasDocument()) {
      applyIfNewer(DocumentCodec.decode(update.getDocument()));
    }
    for (UpstreamMessage message : update.getUpstreamsList()) {
      long heardAt = now - TimeUnit.MILLISECONDS.toNanos(message.getAgeMillis());
      UpstreamReport report = decode(message);
      if (upstreams.accept(report, heardAt)) {
        LOG.info(
            "upstream {} of {} at {} is {}, sequence {}, heard {} ms ago by {}",
            report.id(),
            report.service(),
            report.address(),
            report.state(),
            report.sequence(),
            message.getAgeMillis(),
            source);
      }
    }
    crashes.merge(update.getStrikesList());
    if (update.getComplete()) {
      upstreamsCompleteAt = now;
    }
    if (update.getRouters() > 0) {
      routers = update.getRouters();
    }
    upstreams.evictSilent(now);
  }

  /** Takes what other routers have under way at upstreams. */
  public void updateRemoteWork(List<UpstreamWork> works) {
    long now = clock.getAsLong();
    Map<String, UpstreamWork> byId = new HashMap<>();
    works.forEach(work -> byId.put(work.getUpstream(), work));
    for (Upstream upstream : upstreams.all()) {
      UpstreamWork work = byId.getOrDefault(upstream.id(), UpstreamWork.getDefaultInstance());
      upstream.updateRemoteWork(work);
      RequestCounts others = new RequestCounts(work.getStuck(), work.getAnswered());
      if (upstream.hangDetector().updateRemoteCounts(others, now)) {
        LOG.info(
            "upstream {} is paused: other routers' requests lately: {} stuck, {} answered",
            upstream.id(),
            work.getStuck(),
            work.getAnswered());
      }
    }
  }

  /** Notes that a control daemon is not followed any more. */
  public void removeControlDaemon(String source) {
    toldAt.remove(source);
  }

  /** Returns what this router tells control daemons. */
  public FollowerReport.Builder createReport() {
    FollowerReport.Builder report =
        FollowerReport.newBuilder()
            .setDocumentVersion(version())
            .addAllAccounts(shares.localUsage());
    long now = clock.getAsLong();
    for (Upstream upstream : upstreams.all()) {
      RequestCounts tally = upstream.hangDetector().localCounts(now);
      if (upstream.localRequests() > 0 || tally.stuck() > LEAST_STUCK_TOLD) {
        report.addWork(
            UpstreamWork.newBuilder()
                .setUpstream(upstream.id())
                .setRequests(upstream.localRequests())
                .setPendingTokens((int) Math.max(0, upstream.localPendingTokens()))
                .setMemoryTokens((int) Math.max(0, upstream.localMemoryTokens()))
                .setStuck((float) tally.stuck())
                .setAnswered((float) tally.answered()));
      }
    }
    return report;
  }

  private static UpstreamReport decode(UpstreamMessage message) {
    UpstreamReport.State[] states = UpstreamReport.State.values();
    int state = Math.min(message.getState(), states.length - 1);
    return new UpstreamReport(
        message.getId(),
        message.getService(),
        message.getAddress(),
        message.getZone(),
        message.getSlots(),
        states[state],
        message.getStartedAtMillis(),
        message.getSequence());
  }
}
