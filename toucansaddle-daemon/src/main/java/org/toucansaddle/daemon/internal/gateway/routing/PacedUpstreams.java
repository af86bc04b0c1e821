package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.toucansaddle.coordination.pacing.UpstreamPace;
import org.toucansaddle.coordination.pacing.UpstreamPace.Evidence;
import org.toucansaddle.coordination.pacing.UpstreamPace.Load;

/**
 * Keeps this router's requests to upstreams that have started or recovered at their pace.
 *
 * <p>Without effect on a service of which more than half of the ready upstreams are being paced:
 * there is nowhere else to go. While an upstream is cold, or may be, its answers are no evidence
 * and its pace is held. Thread-safe.
 */
public final class PacedUpstreams {

  /** Age from which the counts of a service are taken anew; counts of others are older. */
  private static final long MAX_TRAFFIC_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Time after which a router that has all requests at a service takes its part of a pace. */
  private static final long MIN_ALONE_NANOS = UpstreamPace.STEP_NANOS;

  /**
   * Requests under way at a service, of this router and of all. Immutable.
   *
   * @param aloneSinceNanos time since which all are of this router; valid if it is alone
   */
  private record Traffic(int own, int all, long atNanos, boolean isAlone, long aloneSinceNanos) {

    boolean isAloneForLong() {
      return isAlone && atNanos - aloneSinceNanos >= MIN_ALONE_NANOS;
    }

    /** Returns the same with the time of an earlier count, unless that is too old to tell. */
    Traffic after(Traffic earlier) {
      boolean isLasting = isAlone && earlier.isAlone && atNanos - earlier.atNanos < MIN_ALONE_NANOS;
      return isLasting ? new Traffic(own, all, atNanos, true, earlier.aloneSinceNanos) : this;
    }
  }

  /** Returns the traffic of a service at a time. */
  private interface TrafficSource {
    Traffic at(String service, long nowNanos);
  }

  private final Map<String, Traffic> traffics = new ConcurrentHashMap<>();
  private final UpstreamTable upstreams;
  private final IntSupplier routers;
  private final LongSupplier clock;
  private final Predicate<Upstream> cold;
  private final AtomicLong passedOver = new AtomicLong();

  /**
   * Creates an object that has passed over no request.
   *
   * @param clock returns nanoseconds
   * @param cold whether an upstream has to be spared as a cold one now
   */
  PacedUpstreams(
      UpstreamTable upstreams, IntSupplier routers, LongSupplier clock, Predicate<Upstream> cold) {
    this.upstreams = upstreams;
    this.routers = routers;
    this.clock = clock;
    this.cold = cold;
  }

  /** Returns whether an upstream may get a request of this router now, as far as its pace goes. */
  public boolean mayGetRequest(Upstream upstream, boolean repeatable) {
    boolean admitted = isAdmitted(upstream, repeatable);
    if (!admitted) {
      recordPassedOver();
    }
    return admitted;
  }

  /** Returns the same as {@link #mayGetRequest} without recording that it was passed over. */
  public boolean isAdmitted(Upstream upstream, boolean repeatable) {
    recordCold(upstream);
    return isAdmitted(upstream, repeatable, this::traffic);
  }

  /** Returns the same as {@link #isAdmitted} and changes nothing. */
  public boolean wouldAdmit(Upstream upstream, boolean repeatable) {
    return isAdmitted(upstream, repeatable, this::currentTraffic);
  }

  private boolean isAdmitted(Upstream upstream, boolean repeatable, TrafficSource source) {
    UpstreamPace pace = upstream.pace();
    if (!pace.isActive() || !isRestricted(upstream.report().service())) {
      return true;
    }
    long now = clock.getAsLong();
    Traffic traffic = source.at(upstream.report().service(), now);
    Load load = load(upstream, traffic, now);
    return pace.admits(load, repeatable, now);
  }

  private Load load(Upstream upstream, Traffic traffic, long now) {
    int own = upstream.localRequests();
    int all = upstream.requests(now);
    return traffic.isAloneForLong()
        ? Load.ofOnlySender(own, all, traffic.own(), routers.getAsInt())
        : Load.byTraffic(own, all, traffic.own(), traffic.all(), routers.getAsInt());
  }

  /** Counts an upstream that was passed over for its pace. */
  public void recordPassedOver() {
    passedOver.incrementAndGet();
  }

  private Traffic traffic(String service, long now) {
    Traffic current = currentTraffic(service, now);
    if (current.atNanos() == now) {
      traffics.put(service, current);
    }
    return current;
  }

  private Traffic currentTraffic(String service, long now) {
    Traffic known = traffics.get(service);
    if (known != null && now - known.atNanos() < MAX_TRAFFIC_AGE_NANOS) {
      return known;
    }
    Traffic counted = countTraffic(upstreams.ready(service), now);
    return known != null ? counted.after(known) : counted;
  }

  private static Traffic countTraffic(List<Upstream> ready, long now) {
    int own = ready.stream().mapToInt(Upstream::localRequests).sum();
    int all = ready.stream().mapToInt(upstream -> upstream.requests(now)).sum();
    boolean isAlone =
        own > 0
            && all <= own
            && ready.stream().allMatch(upstream -> upstream.condition().knowsOthers(now));
    return new Traffic(own, all, now, isAlone, now);
  }

  private boolean isRestricted(String service) {
    List<Upstream> ready = upstreams.ready(service);
    long paced = ready.stream().filter(upstream -> upstream.pace().isActive()).count();
    return paced * 2 <= ready.size();
  }

  /** Records a request that an upstream answered in time. */
  public void recordKept(Upstream upstream) {
    upstream.pace().recordKept(upstream.report().slots(), routers.getAsInt(), clock.getAsLong());
  }

  /** Records that a request is sent to an upstream. */
  public void recordSent(Upstream upstream, long nowNanos) {
    recordCold(upstream);
    upstream.pace().recordSent(nowNanos);
  }

  /**
   * Returns whether an upstream was warm since it was sent a request, so that its answer counts.
   */
  public boolean isEvidence(Upstream upstream, long sentAtNanos) {
    recordCold(upstream);
    return upstream.pace().isEvidence(sentAtNanos);
  }

  /** Takes over the sum of the other routers' evidence on an upstream. */
  void mergeOthers(Upstream upstream, Evidence sum, long nowNanos) {
    recordCold(upstream);
    upstream.pace().mergeOthers(sum, upstream.report().slots(), routers.getAsInt(), nowNanos);
  }

  private void recordCold(Upstream upstream) {
    if (upstream.pace().isActive()) {
      upstream.pace().recordCold(cold.test(upstream), clock.getAsLong());
    }
  }

  /** Returns the number of upstreams that are being paced. */
  public int count() {
    return (int) upstreams.all().stream().filter(upstream -> upstream.pace().isActive()).count();
  }

  /** Returns how often an upstream was passed over for its pace since the start. */
  public long passedOverCount() {
    return passedOver.get();
  }
}
