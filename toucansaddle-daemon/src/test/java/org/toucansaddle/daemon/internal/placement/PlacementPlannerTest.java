package org.toucansaddle.daemon.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which upstream the planner moves to which model. */
public class PlacementPlannerTest {

  private static final Map<String, Integer> TARGETS = Map.of("a", 1_000, "b", 2_000);

  private static MovableUpstream upstream(String id, String... loadable) {
    return new MovableUpstream(id, 1, "127.0.0.1:1", 4, true, Set.of(loadable));
  }

  private static PoolState pool(
      String model,
      int upstreams,
      int inFlight,
      long backloggedMillis,
      MovableUpstream... movable) {
    return new PoolState(
        model, 4 * upstreams, inFlight, upstreams, backloggedMillis, List.of(movable), 0);
  }

  private static PoolState standby(MovableUpstream... movable) {
    return pool(PlacementPlanner.STANDBY, movable.length, 0, 0, movable);
  }

  @DataProvider
  static Object[][] states() {
    MovableUpstream spare = upstream("spare", "a", "b");
    MovableUpstream used = upstream("used", "a", "b");
    PoolState idle = pool("a", 3, 1, 0, used);
    return new Object[][] {
      {"no model needs an upstream", List.of(idle, pool("b", 1, 4, 2_000), standby(spare)), ""},
      {"no upstream serves b", List.of(idle, standby(spare)), "spare>b"},
      {
        "backlog of b exceeds target",
        List.of(idle, pool("b", 1, 4, 2_001), standby(spare)),
        "spare>b"
      },
      {"no standby upstream", List.of(idle, pool("b", 1, 4, 2_001)), "used>b"},
      {"a is busy", List.of(pool("a", 3, 5, 0, used), pool("b", 1, 4, 9_000)), ""},
      {"a has a backlog", List.of(pool("a", 3, 0, 1, used), pool("b", 1, 4, 9_000)), ""},
      {"a has one upstream", List.of(pool("a", 1, 0, 0, used), pool("b", 1, 4, 9_000)), ""},
      {"no work class uses c", List.of(idle, pool("c", 1, 4, 0, spare)), "spare>b"},
      {"standby cannot load b", List.of(idle, standby(upstream("x", "a", "c"))), "used>b"},
    };
  }

  @Test(dataProvider = "states")
  public void shouldSelectUpstreamToMove(String name, List<PoolState> pools, String expected) {
    String move =
        PlacementPlanner.plan(pools, TARGETS, Set.of(), u -> true)
            .map(m -> m.upstream().id() + ">" + m.model())
            .orElse("");
    assertThat(move).as(name).isEqualTo(expected);
  }

  @Test
  public void shouldNotMoveUpstreamToModelThatIsLoading() {
    List<PoolState> pools = List.of(pool("a", 1, 0, 0), standby(upstream("spare", "b")));
    assertThat(PlacementPlanner.plan(pools, TARGETS, Set.of("b"), u -> true)).isEmpty();
  }

  @Test
  public void shouldNotMoveIneligibleUpstream() {
    List<PoolState> pools = List.of(pool("a", 1, 0, 0), standby(upstream("spare", "b")));
    assertThat(PlacementPlanner.plan(pools, TARGETS, Set.of(), u -> false)).isEmpty();
  }
}
