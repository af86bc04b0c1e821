package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.pacing.ColdPermit;
import org.toucansaddle.coordination.pacing.ColdPermits;
import org.toucansaddle.daemon.gateway.ServiceDefinition;
import org.toucansaddle.protocol.generated.ColdAsk;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.FollowerReport;

/**
 * Keeps this router's requests from cold upstreams, but for those that a control daemon permits.
 *
 * <p>Applies to services whose configuration says what cold upstreams take. Thread-safe.
 */
public final class ColdStart {

  private static final Logger LOG = LoggerFactory.getLogger(ColdStart.class);

  /** Time by which a report may seem later than it is if the update names no report of ours. */
  private static final long UPDATE_SKEW_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Time since which a report of ours that is forgotten was sent at least. */
  private static final long FORGOTTEN_NANOS = TimeUnit.MINUTES.toNanos(1);

  private final Supplier<Optional<RoutingView>> view;
  private final LongSupplier clock;
  private final Predicate<Upstream> silent;
  private final ColdPermits permits = new ColdPermits();
  private final AtomicLong used = new AtomicLong();
  private final AtomicLong withheld = new AtomicLong();

  /**
   * Creates an object without permits.
   *
   * @param clock returns nanoseconds
   * @param silent whether an upstream may have turned cold without this router knowing it
   */
  ColdStart(Supplier<Optional<RoutingView>> view, LongSupplier clock, Predicate<Upstream> silent) {
    this.view = view;
    this.clock = clock;
    this.silent = silent;
  }

  /** Returns whether an upstream has to be spared now. */
  public boolean isCold(Upstream upstream) {
    return view.get()
        .flatMap(current -> current.service(upstream.report().service()))
        .flatMap(ServiceDefinition::warmUp)
        .map(named -> upstream.warmUp().isCold(named.millis(), clock.getAsLong()))
        .map(cold -> cold || silent.test(upstream))
        .orElse(false);
  }

  /**
   * Returns the earliest time at which a control daemon can have received the report of an
   * upstream. An update is sent after the report of this router that it names, however late it
   * arrives.
   *
   * @param ageMillis age of the report when the update was sent, in milliseconds
   */
  long notBefore(FleetUpdate update, long ageMillis, long nowNanos) {
    long sentAt =
        update.hasAnsweredReport()
            ? permits.sentAt(update.getAnsweredReport()).orElse(nowNanos - FORGOTTEN_NANOS)
            : nowNanos - UPDATE_SKEW_NANOS;
    return sentAt - TimeUnit.MILLISECONDS.toNanos(ageMillis + 1);
  }

  /** Returns whether an upstream may get a request; if not, the next report asks for a permit. */
  public boolean mayGetRequest(Upstream upstream) {
    boolean permitted = isPermitted(upstream);
    if (!permitted) {
      recordPassedOver(upstream);
    }
    return permitted;
  }

  /** Returns whether an upstream is warm or there is a permit for it; asks for none. */
  public boolean isPermitted(Upstream upstream) {
    return !isCold(upstream)
        || permits.holds(upstream.id(), upstream.startedAtMillis(), clock.getAsLong());
  }

  /** Has the next report ask for a permit. */
  public void recordPassedOver(Upstream upstream) {
    permits.recordPassedOver(
        upstream.report().service(), upstream.id(), upstream.startedAtMillis());
  }

  /**
   * Sets a permit aside for a request that has to wait for a connection, so that no others wait for
   * the same permit.
   *
   * @return time from which the request must not be sent; empty if no permit is needed or left
   */
  public OptionalLong reserve(Upstream upstream) {
    return isCold(upstream)
        ? permits.reserve(upstream.id(), upstream.startedAtMillis(), clock.getAsLong())
        : OptionalLong.empty();
  }

  /** Returns whether a request may be sent to an upstream at this moment; uses up a permit. */
  public boolean beginRequest(Upstream upstream) {
    return beginRequest(upstream, OptionalLong.empty());
  }

  /**
   * Returns whether a request may be sent to an upstream at this moment.
   *
   * @param reservedUntil result of {@link #reserve}; if empty, a permit is used up
   */
  boolean beginRequest(Upstream upstream, OptionalLong reservedUntil) {
    if (!isCold(upstream)) {
      return true;
    }
    long now = clock.getAsLong();
    boolean permitted =
        reservedUntil.isPresent()
            ? now - reservedUntil.getAsLong() < 0
            : permits.take(upstream.id(), upstream.startedAtMillis(), now);
    (permitted ? used : withheld).incrementAndGet();
    LOG.info(
        "cold upstream {} {}, remaining warm-up {} ms",
        upstream.id(),
        permitted ? "gets a permitted request" : "is not sent a request without a permit",
        upstream.warmUp().remainingMillis(now));
    return permitted;
  }

  /** Numbers a report and adds what this router asks for. */
  void addTo(FollowerReport.Builder report) {
    report.setNumber(permits.recordReport(clock.getAsLong()));
    permits
        .takeAsks()
        .forEach(
            ask ->
                report.addColdAsks(
                    ColdAsk.newBuilder()
                        .setService(ask.service())
                        .setUpstream(ask.upstream())
                        .setStartedAtMillis(ask.startedAtMillis())
                        .setRequests(ask.requests())));
  }

  /** Takes over the permits of an update. */
  void receive(FleetUpdate update) {
    long now = clock.getAsLong();
    update
        .getColdPermitsList()
        .forEach(
            permit ->
                permits.receive(
                    new ColdPermit(
                        permit.getUpstream(),
                        permit.getStartedAtMillis(),
                        permit.getRequests(),
                        permit.getValidMillis(),
                        permit.getReport()),
                    now));
  }

  /** Returns the number of requests sent to cold upstreams since the start. */
  public long usedPermits() {
    return used.get();
  }

  /** Returns the requests that were not sent, though selected, since there was no permit left. */
  public long withheldRequests() {
    return withheld.get();
  }
}
