package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.zones.AllowedRegions;
import org.toucansaddle.coordination.zones.ZoneOrders;
import org.toucansaddle.coordination.zones.ZoneRegions;
import org.toucansaddle.daemon.gateway.CallerLimits;
import org.toucansaddle.daemon.gateway.ClientAccount;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.GatewaySettings.RouterSettings;
import org.toucansaddle.daemon.gateway.HeaderNames;
import org.toucansaddle.daemon.gateway.PlacementMode;
import org.toucansaddle.daemon.gateway.Repetition;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.gateway.ServiceDefinition;
import org.toucansaddle.daemon.gateway.ServiceDefinition.EngineCapacity;
import org.toucansaddle.daemon.gateway.ServiceDefinition.WarmUp;
import org.toucansaddle.daemon.gateway.StoredDocument;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.toucansaddle.daemon.gateway.WeightedService;
import org.toucansaddle.daemon.internal.gateway.control.FleetState;
import org.toucansaddle.daemon.internal.gateway.relay.ExplainedRequest.SharedPart;
import org.toucansaddle.daemon.internal.gateway.relay.RouteExplanation.Candidate;
import org.toucansaddle.daemon.internal.gateway.relay.RouteExplanation.ServicePart;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Selection;
import org.toucansaddle.daemon.internal.gateway.routing.HangDetector.Finding;
import org.toucansaddle.daemon.internal.gateway.routing.RouterState;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;
import org.toucansaddle.daemon.internal.problem.ProblemException;

/** Tests of {@link RouteExplainer} on states that are built without network. */
public class RouteExplainerTest {

  private static final int SLOTS = 8;
  private static final long MEMORY_TOKENS = 100_000;
  private static final int WARM_UP_MILLIS = 60_000;
  private static final int REPORT_TIMEOUT_MILLIS = 6_000;
  private static final long TOKENS_PER_SECOND = 10_000;
  private static final int DRAWS = 400;

  private long nowNanos;
  private RouterState state;
  private RelayContext context;
  private RouteExplainer explainer;

  @BeforeMethod
  public void createRouter() {
    nowNanos = TimeUnit.SECONDS.toNanos(100);
    state = new RouterState(content -> document(), REPORT_TIMEOUT_MILLIS, () -> nowNanos, true);
    RouterSettings settings =
        new RouterSettings(
            "",
            Optional.empty(),
            "",
            Optional.empty(),
            1,
            1,
            REPORT_TIMEOUT_MILLIS,
            0.2,
            50,
            10_000,
            8_000,
            PlacementMode.LOCAL,
            true);
    context =
        new RelayContext(
            state,
            new HeaderCodec(HeaderNames.defaults()),
            new UpstreamSelector("za"),
            new RelayMetrics(),
            settings,
            () -> nowNanos,
            () -> false,
            null,
            new IoLag(),
            null,
            null,
            new ZoneRegions(Map.of("za", "east", "zout", "east", "zb", "west")));
    explainer = new RouteExplainer(context, "router-1");
    state.applyConfirmed(
        new FleetState(new StoredDocument(7, new byte[0]), new ZoneOrders(3, Set.of("zout"))));
  }

  private static FleetDocument document() {
    ServiceDefinition model =
        new ServiceDefinition(
            "model",
            "/healthz",
            100,
            Optional.of(new EngineCapacity(SLOTS, MEMORY_TOKENS)),
            Optional.of(new WarmUp(WARM_UP_MILLIS, 1)));
    List<WeightedService> services =
        List.of(new WeightedService("model", 3), new WeightedService("other", 1));
    Route route =
        new Route(
                "chat",
                "h.example",
                "/chat/",
                Repetition.REPEATABLE,
                8_000,
                1_000,
                400,
                1,
                services,
                2,
                false,
                false)
            .withRegions(AllowedRegions.of(Set.of("east")));
    return new FleetDocument(
        7,
        List.of(route),
        List.of(model, new ServiceDefinition("other", "/healthz", 100, Optional.empty())),
        Optional.of(List.of(new ClientAccount("captain", Set.of("key")))),
        new CallerLimits(65_536, 1_000_000, 1_000, 1_000, TOKENS_PER_SECOND));
  }

  private Upstream add(String id, String zone) {
    return add(id, zone, 0, nowNanos);
  }

  private Upstream add(String id, String zone, int warmUpMillis, long reportedAt) {
    UpstreamReport report =
        new UpstreamReport(id, "model", id + ":1", zone, SLOTS, State.READY, 1, 1)
            .withWarmUpMillis(warmUpMillis);
    state.upstreams().accept(report, reportedAt);
    return find(id);
  }

  private Upstream find(String id) {
    return state.upstreams().all().stream().filter(u -> u.id().equals(id)).findFirst().get();
  }

  private static void start(Upstream upstream, int requests, int memoryTokens) {
    for (int i = 0; i < requests; i++) {
      upstream.recordRequestStarted(0, memoryTokens);
    }
  }

  /** Adds an upstream for each obstacle, named by it, and two without one. */
  private void addOneOfEach() {
    add("free-a", "za");
    add("free-b", "za");
    state.recordPause(add("paused", "za"), 5_000);
    state.recordLimit(add("limited", "za"), OptionalDouble.of(1));
    find("limited").limit().recordSent();
    add("cold", "za", WARM_UP_MILLIS, nowNanos);
    start(add("full", "za"), 3 * SLOTS, 0);
    start(add("no-memory", "za"), 1, (int) MEMORY_TOKENS);
    start(add("paced", "za"), 4, 0);
    find("paced").pace().begin(nowNanos);
    add("zone-out-of-service", "zout");
    add("region-not-allowed", "zb");
    state.recordLeaving(add("leaving", "za"));
    add("unreached", "za").markUnreachable(nowNanos);
    add("broke-response", "za").markBroken(nowNanos);
    add("silent", "za", 0, nowNanos - TimeUnit.MILLISECONDS.toNanos(2 * REPORT_TIMEOUT_MILLIS));
    Upstream stuck = add("stuck", "za");
    stuck.hangDetector().recordFinding(Finding.OVERTAKEN, nowNanos);
    stuck.hangDetector().recordFinding(Finding.OVERTAKEN, nowNanos);
  }

  private static ExplainedRequest prompt(String session) {
    return new ExplainedRequest(
        "POST",
        "H.example:80",
        "/chat/x",
        Optional.of("captain"),
        500,
        100,
        List.of(new SharedPart(session, 400)));
  }

  private static ExplainedRequest plain() {
    return new ExplainedRequest(
        "POST", "h.example", "/chat/x", Optional.of("captain"), 0, 0, List.of());
  }

  private ServicePart explain(ExplainedRequest request) {
    return explainer.explain(request).services().get(0);
  }

  private UpstreamChoice choice(ExplainedRequest request) {
    CallRequest call =
        new CallRequest(
            request.head(),
            state.view().get().document().routes().get(0),
            state.view().get(),
            "captain",
            new byte[0]);
    return new UpstreamChoice(context, call, Optional.empty(), "model");
  }

  @Test
  public void shouldNameObstacleOfEachUpstreamWithAges() {
    addOneOfEach();
    nowNanos += TimeUnit.MILLISECONDS.toNanos(40);
    RouteExplanation explanation = explainer.explain(prompt("session"));
    ServicePart service = explanation.services().get(0);
    String home = service.first().get(0).upstream();
    Map<String, String> expected = new HashMap<>();
    state
        .upstreams()
        .all()
        .forEach(
            u -> expected.put(u.id(), u.id().startsWith("free") ? "others-preferred" : u.id()));
    expected.put(home, "");
    Map<String, String> named = new HashMap<>();
    service.upstreams().forEach(u -> named.put(u.id(), u.obstacle()));
    assertThat(named).isEqualTo(expected);
    assertThat(service.upstreams())
        .filteredOn(u -> !u.id().equals("silent"))
        .allMatch(u -> u.ages().reportMillis() == 40);
    assertThat(service.upstreams())
        .filteredOn(u -> u.id().equals("limited"))
        .allMatch(u -> u.ages().limitMillis() == 40 && u.requestsPerSecond() == 1);
    assertThat(explanation.documentVersion()).isEqualTo(7);
    assertThat(explanation.zonesRevision()).isEqualTo(3);
    assertThat(service.probability()).isEqualTo(0.75);
    assertThat(explanation.services().get(1).admission().refusal()).isEqualTo("no-upstream");
  }

  @DataProvider
  public Object[][] requests() {
    return new Object[][] {{prompt("session")}, {plain()}};
  }

  private void useRouter() {
    addOneOfEach();
    state.shares().recordDemand("captain", 90_000);
    state.shares().recordAdmission("captain", 60_000, 60_000);
    state.shares().recordTurnedAway("captain", 30_000);
    state.arrivals().record("model");
    context.throttle("model").admits("captain", state.usableUpstreams("model", true));
    context.returnSchedule("model").reserve(nowNanos, 10, 10, 1_000);
    choice(plain()).select(choice(plain()).usable());
    nowNanos += TimeUnit.MILLISECONDS.toNanos(700);
  }

  @Test(dataProvider = "requests")
  public void shouldChangeNothing(ExplainedRequest request) throws Exception {
    useRouter();
    String before = dump();
    explainer.explain(request);
    assertThat(dump()).isEqualTo(before);
  }

  @Test(dataProvider = "requests")
  public void shouldChangeNothingOfScarceUpstreams(ExplainedRequest request) throws Exception {
    state.recordLimit(add("limited", "za"), OptionalDouble.of(1));
    context.returnSchedule("model").reserve(nowNanos, 10, 10, 1_000);
    nowNanos += TimeUnit.MILLISECONDS.toNanos(600);
    String before = dump();
    explainer.explain(request);
    assertThat(dump()).isEqualTo(before);
  }

  private String dump() throws IllegalAccessException {
    return StateDump.of(context) + context.metrics().text();
  }

  // Guards against a comparison of states that does not see what a decision changes.
  @Test
  public void shouldSeeWhatDecisionChanges() throws Exception {
    useRouter();
    String before = dump();
    UpstreamChoice real = choice(plain());
    real.select(real.usable());
    assertThat(dump()).isNotEqualTo(before);
  }

  @Test(dataProvider = "requests")
  public void shouldDrawAsDecisionsDo(ExplainedRequest request) {
    addOneOfEach();
    start(find("free-a"), 3, 0);
    List<Candidate> first = explain(request).first();
    Map<String, Integer> drawn = new HashMap<>();
    for (int i = 0; i < DRAWS; i++) {
      UpstreamChoice real = choice(request);
      Selection selection = real.select(real.usable()).orElseThrow();
      drawn.merge(selection.upstream().id(), 1, Integer::sum);
    }
    assertThat(first.stream().mapToDouble(Candidate::probability).sum()).isBetween(0.999, 1.001);
    assertThat(drawn.keySet()).isSubsetOf(first.stream().map(Candidate::upstream).toList());
    for (Candidate candidate : first) {
      double part = drawn.getOrDefault(candidate.upstream(), 0) / (double) DRAWS;
      assertThat(part)
          .as(candidate.upstream())
          .isBetween(candidate.probability() - 0.12, candidate.probability() + 0.12);
    }
  }

  @Test
  public void shouldNameNextUpstreamAsDecisionsDo() {
    add("free-a", "za");
    add("free-b", "za");
    List<String> homes = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      ServicePart service = explain(prompt("session" + i));
      UpstreamChoice real = choice(prompt("session" + i));
      Upstream home = real.select(real.usable()).orElseThrow().upstream();
      real.markTried(home);
      real.markSent(home);
      Selection next = real.select(real.usable()).orElseThrow();
      assertThat(service.first()).extracting(Candidate::upstream).containsExactly(home.id());
      assertThat(service.next())
          .extracting(Candidate::upstream)
          .containsExactly(next.upstream().id());
      assertThat(service.first().get(0).reason()).isEqualTo("prefix");
      assertThat(service.next().get(0).reason()).isEqualTo("next-for-prefix");
      homes.add(home.id());
    }
    assertThat(homes).contains("free-a", "free-b");
  }

  @Test
  public void shouldSayThatAccountIsAboveShare() {
    add("free-a", "za");
    assertThat(explain(prompt("s")).admission().outcome()).isEqualTo("admitted");
    state.shares().recordDemand("captain", 90_000);
    state.shares().recordDemand("other", 90_000);
    state.shares().recordAdmission("captain", 60_000, 60_000);
    RouteExplanation.Verdict verdict = explain(prompt("s")).admission();
    assertThat(verdict.outcome()).isEqualTo("refused");
    assertThat(verdict.refusal()).isEqualTo("above-share");
    assertThat(verdict.usage().utilisation()).isGreaterThan(1);
    assertThat(verdict.usage().demandedTokens()).isEqualTo(90_700);
  }

  @DataProvider
  public Object[][] unknowns() {
    return new Object[][] {
      {"other.example", "/chat/x", Optional.of("captain"), "no-route", "'other.example'"},
      {"h.example", "/other", Optional.of("captain"), "no-route", "'/other'"},
      {"h.example", "/chat/x", Optional.of("nobody"), "unknown-account", "'nobody'"},
      {"h.example", "/chat/x", Optional.empty(), "account-required", "'chat'"},
    };
  }

  @Test(dataProvider = "unknowns")
  public void shouldNameUnknown(
      String host, String path, Optional<String> account, String type, String value) {
    ExplainedRequest request = new ExplainedRequest("POST", host, path, account, 0, 0, List.of());
    assertThatThrownBy(() -> explainer.explain(request))
        .isInstanceOfSatisfying(
            ProblemException.class,
            e -> {
              assertThat(e.problem().type()).isEqualTo(type);
              assertThat(e.problem().detail()).contains(value);
            });
  }
}
