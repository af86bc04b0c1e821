package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.lang.reflect.Method;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.zones.AllowedRegions;
import org.toucansaddle.daemon.gateway.Repetition;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.gateway.WeightedService;
import org.toucansaddle.daemon.internal.gateway.origin.StreamOrigin;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Selection;
import org.toucansaddle.daemon.internal.gateway.routing.AccountShares.AccountState;
import org.toucansaddle.daemon.internal.problem.RunState;
import org.toucansaddle.protocol.generated.PlacementAnswer;
import org.toucansaddle.protocol.generated.PlacementAnswer.Refusal;

/** Tests of the error responses that a router creates, over all of their factories. */
public class ErrorResponseTest {

  private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

  private static final PlacementAnswer ANSWER =
      PlacementAnswer.newBuilder().setRetryAfterMillis(100).build();

  private record Factory(String name, List<ErrorResponse> responses) {
    @Override
    public String toString() {
      return name;
    }
  }

  private static Factory factory(String name, ErrorResponse... responses) {
    return new Factory(name, List.of(responses));
  }

  private static List<Factory> factories() {
    Selection selection = new Selection(null, 1, 2, 3, null);
    Route route =
        new Route(
            "r",
            "h",
            "/",
            Repetition.ONCE,
            8_000,
            1_000,
            400,
            1,
            List.of(new WeightedService("s", 1)),
            1,
            false,
            false);
    List<ErrorResponse> refused = new ArrayList<>();
    for (Refusal refusal : Refusal.values()) {
      if (refusal != Refusal.UNRECOGNIZED) {
        refused.add(
            ErrorResponse.refusedByPlacement(ANSWER.toBuilder().setRefusal(refusal).build()));
      }
    }
    return List.of(
        factory("noRoute", ErrorResponse.noRoute("h")),
        factory("unknownKey", ErrorResponse.unknownKey()),
        factory("noConfiguration", ErrorResponse.noConfiguration()),
        factory("routerBehind", ErrorResponse.routerBehind(1)),
        factory(
            "notInRegion",
            ErrorResponse.notInRegion("s", new AllowedRegions(Optional.of(Set.of("east"))))),
        factory("bodyTooLong", ErrorResponse.bodyTooLong(1)),
        factory("headTooLong", ErrorResponse.headTooLong(1)),
        factory("unreadableBody", ErrorResponse.unreadableBody()),
        factory("aboveShare", ErrorResponse.aboveShare(new AccountState(1, 1, 1, 1), 1)),
        new Factory("refusedByPlacement", refused),
        factory("targetCannotBeMet", ErrorResponse.targetCannotBeMet(selection, 1)),
        factory("quarantined", ErrorResponse.quarantined(1)),
        factory("originUnanswered", ErrorResponse.originUnanswered(1)),
        factory("originUnknown", ErrorResponse.originUnknown()),
        factory("originGone", ErrorResponse.originGone(new StreamOrigin("s", "v"))),
        factory("noUpstream", ErrorResponse.noUpstream()),
        factory("upstreamsBusy", ErrorResponse.upstreamsBusy(route)),
        factory("upstreamsTakeNoMore", ErrorResponse.upstreamsTakeNoMore(1)),
        factory("notRun", ErrorResponse.notRun("t", "d", 1)),
        factory("upstreamLost", ErrorResponse.upstreamLost("d")),
        factory(
            "timedOut",
            ErrorResponse.timedOut(RunState.NOT_RUN),
            ErrorResponse.timedOut(RunState.UNKNOWN)),
        factory(
            "upstreamSilent",
            ErrorResponse.upstreamSilent(RunState.NOT_RUN),
            ErrorResponse.upstreamSilent(RunState.UNKNOWN)));
  }

  @DataProvider
  public Object[][] allFactories() {
    return factories().stream().map(f -> new Object[] {f}).toArray(Object[][]::new);
  }

  /** Guards against a factory that none of these tests looks at. */
  @Test
  public void shouldListAllFactories() {
    List<String> declared =
        Arrays.stream(ErrorResponse.class.getDeclaredMethods())
            .filter(method -> Modifier.isStatic(method.getModifiers()) && !method.isSynthetic())
            .filter(method -> method.getReturnType() == ErrorResponse.class)
            .map(Method::getName)
            .toList();
    assertThat(factories().stream().map(Factory::name))
        .containsExactlyInAnyOrderElementsOf(declared);
  }

  @Test(dataProvider = "allFactories")
  public void shouldPromiseOnlyForWhatHasNotRun(Factory factory) {
    assertThat(factory.responses())
        .isNotEmpty()
        .filteredOn(response -> PROMISES.contains(response.status()))
        .allSatisfy(r -> assertThat(r.runState()).isEqualTo(RunState.NOT_RUN));
  }

  /** Guards against a call that an upstream may have run and that ends as if it had not. */
  @Test(dataProvider = "allFactories")
  public void shouldPromiseNothingForCallThatMayHaveRun(Factory factory) {
    for (RunState run : List.of(RunState.UNKNOWN, RunState.RUN)) {
      assertThat(factory.responses())
          .extracting(response -> response.given(run))
          .allSatisfy(
              response -> {
                assertThat(response.status()).isIn(502, 504);
                assertThat(response.runState()).isEqualTo(RunState.UNKNOWN);
                assertThat(response.retryAfterMillis()).isZero();
              });
    }
  }

  @Test(dataProvider = "allFactories")
  public void shouldKeepResponseOfCallThatHasNotRun(Factory factory) {
    assertThat(factory.responses())
        .allSatisfy(r -> assertThat(r.given(RunState.NOT_RUN)).isSameAs(r));
  }

  @DataProvider
  public Object[][] promises() {
    return PROMISES.stream().map(status -> new Object[] {status}).toArray(Object[][]::new);
  }

  @Test(dataProvider = "promises")
  public void shouldRejectPromiseForWhatMayHaveRun(int status) {
    for (RunState run : List.of(RunState.UNKNOWN, RunState.RUN)) {
      assertThatThrownBy(() -> new ErrorResponse(status, "t", run, "d", 0))
          .isInstanceOf(IllegalArgumentException.class);
    }
  }
}
