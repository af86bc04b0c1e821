package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.toucansaddle.coordination.zones.AllowedRegions;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.gateway.ServiceDefinition;
import org.toucansaddle.daemon.gateway.WeightedService;
import org.toucansaddle.daemon.internal.gateway.origin.StreamOrigin;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.EngineProfile;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Reason;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Selection;
import org.toucansaddle.daemon.internal.gateway.routing.Obstacle;
import org.toucansaddle.daemon.internal.gateway.routing.RequestLimit;
import org.toucansaddle.daemon.internal.gateway.routing.RequestedPause;
import org.toucansaddle.daemon.internal.gateway.routing.RoutingView;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;
import org.toucansaddle.protocol.generated.PlacementAnswer;

/**
 * The upstreams that one call may still be sent to.
 *
 * <p>Each upstream is selected at most once for a call, or once more if it was given up without a
 * failure. What different versions of a service's software write does not fit together, so a stream
 * of which the caller has received something goes on only where it began. Confined to the call's
 * I/O thread.
 */
final class UpstreamChoice {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final RelayContext context;
  private final RequestHead head;
  private final Route route;
  private final RoutingView view;
  private final String service;
  private final AllowedRegions regions;

  /** Where the stream began; empty while it may begin anywhere. */
  private Optional<StreamOrigin> origin;

  private final Set<String> tried = new HashSet<>();
  private final Set<String> sentTo = new HashSet<>();
  private double nominalTokensPerMilli;

  /** Takes the service of an earlier part of the stream, or else draws one of the route's. */
  UpstreamChoice(RelayContext context, CallRequest request, Optional<StreamOrigin> origin) {
    this(
        context,
        request,
        origin,
        origin
            .map(StreamOrigin::service)
            .orElseGet(
                () ->
                    WeightedService.draw(request.route().services(), ThreadLocalRandom.current())));
  }

  /** Takes a service that was drawn. */
  UpstreamChoice(
      RelayContext context, CallRequest request, Optional<StreamOrigin> origin, String service) {
    this.context = context;
    this.head = request.head();
    this.route = request.route();
    this.view = request.view();
    this.origin = origin;
    this.regions = view.regions(route, request.account());
    this.service = service;
  }

  String service() {
    return service;
  }

  /** Returns whether no upstream has been selected. */
  boolean isFirst() {
    return tried.isEmpty();
  }

  /** Returns the prefill speed used by the last selection, in tokens per millisecond. */
  double nominalTokensPerMilli() {
    return nominalTokensPerMilli;
  }

  /** Returns the upstreams that accept the request, whether or not they were tried. */
  List<Upstream> usable() {
    return context
        .state()
        .usableUpstreams(
            service,
            route.isRepeatable(),
            upstream ->
                isAllowed(upstream)
                    && (origin.isEmpty() || origin.get().equals(originAt(upstream))));
  }

  /** Returns whether a request of this account on this route may be served by an upstream. */
  boolean isAllowed(Upstream upstream) {
    return regions.include(context.regions().regionOf(upstream.report().zone()));
  }

  /**
   * Returns the response to a call that no upstream accepts, if others than those of the allowed
   * regions would accept it.
   */
  Optional<ErrorResponse> refuseForRegion() {
    boolean othersAccept =
        regions.isRestricted()
            && !context.state().usableUpstreams(service, route.isRepeatable()).isEmpty();
    return othersAccept
        ? Optional.of(ErrorResponse.notInRegion(service, regions))
        : Optional.empty();
  }

  private static StreamOrigin originAt(Upstream upstream) {
    return new StreamOrigin(upstream.report().service(), upstream.report().softwareVersion());
  }

  /** Records that the caller has received something that an upstream wrote. */
  void fixOrigin(Upstream upstream) {
    if (origin.isEmpty()) {
      origin = Optional.of(originAt(upstream));
    }
  }

  /** Records, for routers that callers may return to, where a stream begins or goes on. */
  void recordOrigin(Upstream upstream) {
    if (!route.isStream() || !route.resumable()) {
      return;
    }
    StreamOrigin current = originAt(upstream);
    boolean mixed = context.state().softwareVersions(service).size() > 1;
    context.state().origins().record(head.requestId(), current, mixed);
    if (origin.isPresent()) {
      context.state().origins().record(head.resumes(), current, mixed);
    }
  }

  /** Selects one of the usable upstreams that was not tried; empty if all are busy. */
  Optional<Selection> select(List<Upstream> usable) {
    EngineProfile profile = profile(usable, context.estimator(service));
    nominalTokensPerMilli = profile.nominalTokensPerMilli();
    if (isFirst() && !isTurn(usable, () -> context.returnSchedule(service))) {
      return Optional.empty();
    }
    return shortlist(usable, profile, this::takesRequest).draw(ThreadLocalRandom.current());
  }

  /** Returns the upstreams among which {@link #select} would draw one; changes nothing. */
  Shortlist preview(List<Upstream> usable) {
    return shortlist(usable, currentProfile(usable), upstream -> heldBack(upstream).isEmpty());
  }

  /** Returns whether {@link #select} would leave the first place to others; changes nothing. */
  boolean leavesPlace(List<Upstream> usable) {
    return isFirst() && !isTurn(usable, () -> context.returnScheduleCopy(service));
  }

  /** Returns why a usable upstream does not get the request now; changes nothing. */
  Optional<Obstacle> obstacle(Upstream upstream, List<Upstream> usable) {
    return heldBack(upstream)
        .or(() -> context.selector().obstacle(upstream, head, currentProfile(usable)));
  }

  private Shortlist shortlist(
      List<Upstream> usable, EngineProfile profile, Predicate<Upstream> takesRequest) {
    List<Upstream> allowed = usable.stream().filter(this::mayBeSentTo).toList();
    Predicate<Upstream> takesMore = upstream -> !isTried(upstream) && takesRequest.test(upstream);
    return context.selector().shortlist(allowed, head, route.targetMillis(), profile, takesMore);
  }

  private EngineProfile currentProfile(List<Upstream> usable) {
    return profile(usable, context.currentEstimator(service));
  }

  private EngineProfile profile(List<Upstream> usable, FirstTokenEstimator estimator) {
    int count =
        origin.isEmpty()
            ? usable.size()
            : context
                .state()
                .usableUpstreams(service, route.isRepeatable(), this::isAllowed)
                .size();
    return EngineProfile.of(view, service, count, estimator, context.nowNanos());
  }

  /** Returns whether no caller that was asked to return is due before this one. */
  private boolean isTurn(List<Upstream> usable, Supplier<ReturnSchedule> schedule) {
    return !areScarce(usable)
        || schedule.get().admits(context.nowNanos(), head.isLikelyRetry(route));
  }

  private boolean isTried(Upstream upstream) {
    return tried.contains(upstream.id());
  }

  /** Returns whether an upstream takes a request of this router now, as far as it has said. */
  boolean takesRequest(Upstream upstream) {
    Optional<Obstacle> obstacle =
        heldBack(
            upstream,
            upstream.limit(),
            u -> context.state().paced().isAdmitted(u, route.isRepeatable()));
    if (obstacle.isPresent()) {
      recordHeldBack(upstream, obstacle.get());
    }
    return obstacle.isEmpty();
  }

  private Optional<Obstacle> heldBack(Upstream upstream) {
    return heldBack(
        upstream,
        upstream.limit().copy(),
        u -> context.state().paced().wouldAdmit(u, route.isRepeatable()));
  }

  /** Returns why an upstream takes no request of this router; changes at most its arguments. */
  private Optional<Obstacle> heldBack(
      Upstream upstream, RequestLimit limit, Predicate<Upstream> hasPace) {
    long now = context.nowNanos();
    if (!upstream.requestedPause().permits(now, upstream.localRequests())) {
      return Optional.of(Obstacle.PAUSED);
    }
    if (!limit.permits(now, context.state().limitPart(service))) {
      return Optional.of(Obstacle.LIMITED);
    }
    if (!context.state().coldStart().isPermitted(upstream)) {
      return Optional.of(Obstacle.COLD);
    }
    return hasPace.test(upstream) ? Optional.empty() : Optional.of(Obstacle.PACED);
  }

  private void recordHeldBack(Upstream upstream, Obstacle obstacle) {
    if (obstacle == Obstacle.COLD) {
      context.state().coldStart().recordPassedOver(upstream);
    } else if (obstacle == Obstacle.PACED) {
      context.state().paced().recordPassedOver();
    }
  }

  /** Returns whether all upstreams have said that they take few requests or none. */
  boolean areScarce(List<Upstream> usable) {
    long now = context.nowNanos();
    return !usable.isEmpty()
        && usable.stream().allMatch(u -> u.limit().isNamed() || u.requestedPause().isInEffect(now));
  }

  /** Returns the response to a call that none of the usable upstreams takes now. */
  ErrorResponse refuseForLoad(List<Upstream> usable) {
    if (!areScarce(usable)) {
      return ErrorResponse.upstreamsBusy(route);
    }
    long delayMillis =
        context
            .returnSchedule(service)
            .reserve(
                context.nowNanos(),
                waitMillis(usable),
                Math.round(MILLIS_PER_SECOND / requestsPerSecond(usable)),
                route.targetMillis());
    return ErrorResponse.upstreamsTakeNoMore(delayMillis);
  }

  /** Returns the requests a second that scarce upstreams take of this router. */
  private double requestsPerSecond(List<Upstream> usable) {
    RequestLimit.Part part = context.state().limitPart(service);
    return usable.stream()
        .mapToDouble(
            upstream ->
                Math.min(upstream.limit().requestsPerSecond(part), RequestedPause.STEPS_PER_SECOND))
        .sum();
  }

  /** Returns the time until the first of some upstreams takes a request, in milliseconds. */
  long waitMillis(List<Upstream> usable) {
    RequestLimit.Part part = context.state().limitPart(service);
    long now = context.nowNanos();
    return usable.stream()
        .mapToLong(
            upstream ->
                Math.max(
                    upstream.requestedPause().remainingMillis(now),
                    upstream.limit().waitMillis(now, part)))
        .min()
        .orElse(0);
  }

  /** Returns whether a control daemon may select the first upstream: any engine will do. */
  boolean isPlaced() {
    return origin.isEmpty()
        && head.promptTokens() > 0
        && view.service(service).flatMap(ServiceDefinition::engine).isPresent();
  }

  /** Has the next report ask for permits for all engines that are cold now, preferred or not. */
  void recordColdEngines() {
    if (view.service(service).flatMap(ServiceDefinition::warmUp).isPresent()) {
      usable().forEach(this::takesRequest);
    }
  }

  /** Returns the upstream that a control daemon selected; empty if it is not usable here. */
  Optional<Selection> selectPlaced(PlacementAnswer answer) {
    List<Upstream> usable = usable();
    nominalTokensPerMilli =
        EngineProfile.of(
                view, service, usable.size(), context.estimator(service), context.nowNanos())
            .nominalTokensPerMilli();
    return usable.stream()
        .filter(upstream -> upstream.id().equals(answer.getUpstream()))
        .filter(this::takesRequest)
        .findFirst()
        .map(
            upstream ->
                new Selection(
                    upstream,
                    answer.getQueueMillis(),
                    answer.getFirstTokenMillis(),
                    answer.getReadTokens(),
                    Reason.PLACED));
  }

  private boolean mayBeSentTo(Upstream upstream) {
    return sentTo.size() < route.maxAttempts() || sentTo.contains(upstream.id());
  }

  /** Returns whether the route allows another attempt, at a new upstream or one given up. */
  boolean hasAttemptsLeft() {
    return sentTo.size() < route.maxAttempts() || !tried.containsAll(sentTo);
  }

  /** Records that an upstream gets the request; the route limits their number. */
  void markSent(Upstream upstream) {
    sentTo.add(upstream.id());
  }

  /** Allows an upstream again that was given up without a failure. */
  void allowAgain(Upstream upstream) {
    tried.remove(upstream.id());
  }

  /** Records that an upstream is tried, so that it is not selected again. */
  void markTried(Upstream upstream) {
    tried.add(upstream.id());
  }

  /** Engines are not throttled: their admission follows from the expected time. */
  boolean isThrottled(List<Upstream> usable, String account) {
    return isFirst()
        && head.promptTokens() == 0
        && !context.throttle(service).admits(account, usable);
  }

  /** Returns the number of connections that this router may open to an upstream. */
  int maxConnections() {
    int max = view.service(service).map(ServiceDefinition::maxConnections).orElse(0);
    return max == 0 ? Integer.MAX_VALUE : Math.max(2, max / context.state().routers());
  }
}
