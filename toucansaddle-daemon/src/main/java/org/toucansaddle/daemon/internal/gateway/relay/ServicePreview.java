package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;
import org.toucansaddle.daemon.internal.gateway.relay.AdmissionControl.Admission;
import org.toucansaddle.daemon.internal.gateway.relay.AdmissionControl.AdmissionRequest;
import org.toucansaddle.daemon.internal.gateway.relay.RouteExplanation.Ages;
import org.toucansaddle.daemon.internal.gateway.relay.RouteExplanation.UpstreamState;
import org.toucansaddle.daemon.internal.gateway.relay.RouteExplanation.Usage;
import org.toucansaddle.daemon.internal.gateway.relay.RouteExplanation.Verdict;
import org.toucansaddle.daemon.internal.gateway.relay.Shortlist.Chance;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Selection;
import org.toucansaddle.daemon.internal.gateway.routing.AccountShares;
import org.toucansaddle.daemon.internal.gateway.routing.AccountShares.AccountState;
import org.toucansaddle.daemon.internal.gateway.routing.Obstacle;
import org.toucansaddle.daemon.internal.gateway.routing.RequestLimit;
import org.toucansaddle.daemon.internal.gateway.routing.RouterState;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;

/**
 * What would become of a request at one service of its route, at the time of creation.
 *
 * <p>Changes nothing that requests depend on. Confined to a thread.
 */
final class ServicePreview {

  private static final double ADMITTED_IF_CERTAIN = Math.nextDown(1.0);
  private static final double ADMITTED_IF_AT_ALL = 0;
  private static final long NONE = -1;

  private final RelayContext context;
  private final CallRequest call;
  private final String service;
  private final AccountShares sharesNow;
  private final UpstreamChoice choice;
  private final List<Upstream> usable;
  private final boolean leavesPlace;
  private final List<Chance> first;
  private final long now;

  ServicePreview(RelayContext context, CallRequest call, String service) {
    this.context = context;
    this.call = call;
    this.service = service;
    this.now = context.nowNanos();
    this.sharesNow = context.state().shares().copy(() -> ADMITTED_IF_AT_ALL);
    this.choice = new UpstreamChoice(context, call, Optional.empty(), service);
    this.usable = choice.usable();
    this.leavesPlace = choice.leavesPlace(usable);
    this.first = leavesPlace ? List.of() : choice.preview(usable).chances();
  }

  /** Returns the upstreams that may be drawn first. */
  List<Chance> first() {
    return first;
  }

  /** Returns the upstreams that may be drawn if the most likely first one fails. */
  List<Chance> next() {
    if (first.isEmpty()) {
      return List.of();
    }
    Upstream tried = first.get(0).selection().upstream();
    UpstreamChoice later = new UpstreamChoice(context, call, Optional.empty(), service);
    later.markTried(tried);
    later.markSent(tried);
    return later.hasAttemptsLeft() ? later.preview(later.usable()).chances() : List.of();
  }

  /** Returns whether the request would be admitted. */
  Verdict admission() {
    Optional<Selection> selection = first.stream().map(Chance::selection).findFirst();
    AccountShares shares = sharesNow.copy(() -> ADMITTED_IF_AT_ALL);
    AdmissionRequest request = request(shares);
    new AdmissionControl(shares).recordArrival(request);
    AccountState account = shares.state(call.account(), request.tokensPerSecond());
    Usage usage =
        new Usage(
            shares.utilisation(request.tokensPerSecond()),
            shares.isPoolFull(request.tokensPerSecond()),
            account.demandedTokens(),
            account.admittedTokens(),
            account.fairShareTokens() == Double.MAX_VALUE ? NONE : account.fairShareTokens(),
            account.remoteUsageAgeMillis());
    if (usable.isEmpty()) {
      return verdict(
          0, choice.refuseForRegion().or(() -> Optional.of(ErrorResponse.noUpstream())), usage);
    }
    Optional<ErrorResponse> atBest = refusal(ADMITTED_IF_AT_ALL, selection);
    Optional<ErrorResponse> atWorst = refusal(ADMITTED_IF_CERTAIN, selection);
    if (atBest.isPresent()) {
      return verdict(0, atBest, usage);
    }
    double sharePart =
        atWorst.isEmpty() ? 1 : AccountShares.admittedPart(account, call.head().totalWorkTokens());
    double throttlePart = throttlePart();
    Optional<ErrorResponse> throttled = throttlePart < 1 ? Optional.of(noRoom()) : Optional.empty();
    return verdict(throttlePart * sharePart, atWorst.or(() -> throttled), usage);
  }

  private AdmissionRequest request(AccountShares shares) {
    double nominal = call.view().tokensPerSecond();
    return new AdmissionRequest(
        call.route(),
        call.head(),
        call.account(),
        context.state().tokensPerSecond(service, nominal, shares),
        call.head().timeoutMillis(call.route()));
  }

  /** Admits the request at a copy of the shares whose draws give the same number each time. */
  private Optional<ErrorResponse> refusal(double drawn, Optional<Selection> selection) {
    AccountShares shares = sharesNow.copy(() -> drawn);
    AdmissionControl control = new AdmissionControl(shares);
    AdmissionRequest request = request(shares);
    control.recordArrival(request);
    Admission admission = control.admit(request, selection, this::noRoom);
    return admission.refusal();
  }

  private double throttlePart() {
    return call.head().promptTokens() > 0
        ? 1
        : context.throttleCopy(service).partOf(call.account(), usable);
  }

  private ErrorResponse noRoom() {
    return choice.areScarce(usable)
        ? ErrorResponse.upstreamsTakeNoMore(0)
        : ErrorResponse.upstreamsBusy(call.route());
  }

  private static Verdict verdict(double part, Optional<ErrorResponse> refusal, Usage usage) {
    double bounded = Math.max(0, Math.min(1, part));
    String outcome = bounded == 0 ? "refused" : bounded == 1 ? "admitted" : "drawn";
    return new Verdict(
        outcome,
        bounded,
        refusal.map(ErrorResponse::type).orElse(""),
        refusal.map(ErrorResponse::detail).orElse(""),
        usage);
  }

  /** Returns what is known of an upstream of the service, and why it would not be selected. */
  UpstreamState describe(Upstream upstream) {
    Optional<Obstacle> obstacle = obstacle(upstream);
    RouterState state = context.state();
    RequestLimit limit = upstream.limit();
    LongUnaryOperator age = at -> TimeUnit.NANOSECONDS.toMillis(now - at);
    double pace = upstream.pace().pace();
    return new UpstreamState(
        upstream.id(),
        upstream.report().zone(),
        obstacle.map(RouteExplainer::nameOf).orElse(""),
        obstacle.map(Obstacle::detail).orElse(""),
        upstream.requests(now),
        upstream.report().slots(),
        upstream.pendingTokens(now),
        upstream.memoryTokens(),
        upstream.condition().takenPart(now),
        Double.isInfinite(pace) ? NONE : pace,
        upstream.requestedPause().remainingMillis(now),
        state.coldStart().isCold(upstream) ? upstream.warmUp().remainingMillis(now) : 0,
        limit.notice().map(notice -> notice.requestsPerSecond().orElse(NONE)).orElse((double) NONE),
        new Ages(
            age.applyAsLong(upstream.lastReportAtNanos()),
            upstream
                .condition()
                .loadReport(now)
                .map(report -> age.applyAsLong(report.atNanos()))
                .orElse(NONE),
            limit.notice().map(notice -> age.applyAsLong(notice.atNanos())).orElse(NONE)));
  }

  private Optional<Obstacle> obstacle(Upstream upstream) {
    Optional<Obstacle> general = context.state().usable().obstacle(upstream);
    if (general.isPresent()) {
      return general;
    }
    if (!choice.isAllowed(upstream)) {
      return Optional.of(Obstacle.REGION_NOT_ALLOWED);
    }
    if (!usable.contains(upstream)) {
      return Optional.of(upstream.isAvoided(now) ? Obstacle.BROKE_RESPONSE : Obstacle.STUCK);
    }
    Optional<Obstacle> own = choice.obstacle(upstream, usable);
    if (own.isPresent()) {
      return own;
    }
    if (leavesPlace) {
      return Optional.of(Obstacle.OTHERS_DUE);
    }
    boolean isListed = first.stream().anyMatch(c -> c.selection().upstream() == upstream);
    return isListed ? Optional.empty() : Optional.of(Obstacle.OTHERS_PREFERRED);
  }
}
