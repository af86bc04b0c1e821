package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.TreeSet;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.gateway.WeightedService;
import org.toucansaddle.daemon.internal.gateway.relay.RouteExplanation.Candidate;
import org.toucansaddle.daemon.internal.gateway.relay.RouteExplanation.ServicePart;
import org.toucansaddle.daemon.internal.gateway.routing.RouterState;
import org.toucansaddle.daemon.internal.gateway.routing.RoutingView;
import org.toucansaddle.daemon.internal.problem.Problem;
import org.toucansaddle.daemon.internal.problem.ProblemException;
import org.toucansaddle.daemon.internal.problem.RunState;

/**
 * Explains where a request would go now, without I/O.
 *
 * <p>Asks the classes that decide for requests. Those of them that change when they are asked are
 * copied first, so that no permit, place, share, limit or counter changes. Thread-safe.
 */
public final class RouteExplainer {

  private final RelayContext context;
  private final String router;

  /** Creates an explainer; {@code router} is the name of the router. */
  public RouteExplainer(RelayContext context, String router) {
    this.context = context;
    this.router = router;
  }

  /**
   * Explains where a request would go.
   *
   * @throws ProblemException if the router has no configuration, or no route or account matches
   */
  public RouteExplanation explain(ExplainedRequest request) {
    RouterState state = context.state();
    RoutingView view =
        state
            .view()
            .orElseThrow(() -> problem(503, "no-configuration", "It has no configuration yet."));
    RequestHead head = request.head();
    Route route = findRoute(view, head);
    String account = findAccount(view, route, request.account());
    CallRequest call = new CallRequest(head, route, view, account, new byte[0]);
    double weights = route.services().stream().mapToInt(WeightedService::weight).sum();
    List<ServicePart> services =
        route.services().stream()
            .filter(service -> service.weight() > 0)
            .map(service -> explain(call, service, service.weight() / weights))
            .toList();
    boolean isPlaced = head.promptTokens() > 0 && context.asksForPlacement();
    return new RouteExplanation(
        router,
        view.document().version(),
        state.zonesOutOfService().revision(),
        List.copyOf(new TreeSet<>(state.zonesOutOfService().outOfService())),
        state.usable().updateAgeMillis(),
        head.method(),
        head.host(),
        head.path(),
        route.name(),
        account,
        isPlaced ? "control daemon" : "router",
        context.ioLag().averageMillis(),
        services);
  }

  private static Route findRoute(RoutingView view, RequestHead head) {
    return view.routes()
        .find(head.host(), head.path())
        .orElseThrow(
            () ->
                problem(
                    404,
                    "no-route",
                    ("No route of host '%s' matches the path '%s'."
                            + " See the hosts and path prefixes with 'toucansaddle document get'.")
                        .formatted(head.host(), head.path())));
  }

  private static String findAccount(RoutingView view, Route route, Optional<String> named) {
    boolean isKnown =
        named.isEmpty()
            || view.document().accounts().stream()
                .flatMap(List::stream)
                .anyMatch(account -> account.name().equals(named.get()));
    if (!isKnown) {
      throw problem(
          404,
          "unknown-account",
          ("Client account '%s' does not exist in configuration %d."
                  + " See the accounts with 'toucansaddle document get'.")
              .formatted(named.get(), view.document().version()));
    }
    if (route.open() || !view.document().requiresKeys()) {
      return "";
    }
    return named.orElseThrow(
        () ->
            problem(
                400,
                "account-required",
                "Route '%s' needs a client account. Name one with --account."
                    .formatted(route.name())));
  }

  private static ProblemException problem(int status, String type, String detail) {
    return new ProblemException(Problem.of(status, type, RunState.NOT_RUN, detail));
  }

  private ServicePart explain(CallRequest call, WeightedService service, double probability) {
    ServicePreview preview = new ServicePreview(context, call, service.service());
    return new ServicePart(
        service.service(),
        service.weight(),
        probability,
        preview.admission(),
        preview.first().stream().map(RouteExplainer::candidate).toList(),
        preview.next().stream().map(RouteExplainer::candidate).toList(),
        context.state().upstreams().all().stream()
            .filter(upstream -> upstream.report().service().equals(service.service()))
            .sorted(Comparator.comparing(upstream -> upstream.id()))
            .map(preview::describe)
            .toList());
  }

  private static Candidate candidate(Shortlist.Chance chance) {
    UpstreamSelector.Selection selection = chance.selection();
    return new Candidate(
        selection.upstream().id(),
        nameOf(selection.reason()),
        chance.probability(),
        selection.expectedQueueMillis(),
        selection.expectedFirstTokenMillis(),
        selection.prefillTokens());
  }

  /** Returns the name of an enum constant as it is written in explanations. */
  static String nameOf(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
