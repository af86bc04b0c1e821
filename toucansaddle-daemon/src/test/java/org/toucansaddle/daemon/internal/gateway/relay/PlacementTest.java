package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.toucansaddle.daemon.internal.gateway.relay.Placement.Choice;
import org.toucansaddle.daemon.internal.gateway.relay.Placement.EngineLimits;
import org.toucansaddle.daemon.internal.gateway.relay.Placement.Reason;
import org.toucansaddle.daemon.internal.gateway.relay.RequestHead.PromptPart;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;
import org.toucansaddle.daemon.internal.gateway.routing.UpstreamTable;

/** Tests of {@link Placement} by patterns of load, without network. */
public class PlacementTest {

  private static final int TARGET_MILLIS = 1_000;
  private static final long MEMORY_TOKENS = 540_000;
  private static final EngineLimits LIMITS = new EngineLimits(new EngineSpeed(), 50, MEMORY_TOKENS);
  private static final int ENGINES = 13;

  private final Placement placement = new Placement("z0");
  private List<Upstream> engines;

  @BeforeMethod
  public void createEngines() {
    engines = upstreams(ENGINES, 64);
  }

  private static List<Upstream> upstreams(int count, int slots) {
    UpstreamTable table = new UpstreamTable();
    for (int i = 0; i < count; i++) {
      String address = "10.0.0." + i + ":80";
      table.accept(
          new UpstreamReport("u" + i, "s", address, "z" + i % 3, slots, State.READY, 1, 1), 0);
    }
    return new ArrayList<>(table.ready("s"));
  }

  private static RequestHead prompt(String session, int sharedTokens, int ownTokens) {
    List<PromptPart> parts =
        List.of(new PromptPart(session, sharedTokens), new PromptPart("own", ownTokens));
    return new RequestHead("r", "h", "/", 0, "", sharedTokens + ownTokens, 60, 0, parts);
  }

  private static RequestHead call() {
    return new RequestHead("r", "h", "/", 0, "", 0, 0, 0, List.of());
  }

  private Optional<Choice> choose(List<Upstream> from, RequestHead head) {
    return placement.choose(from, head, TARGET_MILLIS, LIMITS, Set.of());
  }

  private static void send(Choice choice) {
    choice.upstream().recordRequestStarted(choice.toRead(), choice.toRead());
  }

  @Test
  public void shouldReadASharedPrefixOnce() {
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      Choice choice = choose(engines, prompt("session", 5_000, 1)).orElseThrow();
      used.add(choice.upstream().id());
      assertThat(choice.reason()).isEqualTo(Reason.PREFIX);
    }
    assertThat(used).hasSize(1);
  }

  @Test
  public void shouldPlaceAPrefixAlikeAtEveryRouter() {
    RequestHead head = prompt("session", 5_000, 600);
    String first = choose(engines, head).orElseThrow().upstream().id();
    String other =
        new Placement("z2")
            .choose(engines, head, TARGET_MILLIS, LIMITS, Set.of())
            .orElseThrow()
            .upstream()
            .id();
    assertThat(other).isEqualTo(first);
  }

  @Test
  public void shouldSpreadManyPrefixesOverAllEngines() {
    Map<String, Integer> requests = new HashMap<>();
    for (int i = 0; i < 1_300; i++) {
      Choice choice = choose(engines, prompt("session" + i, 100, 10)).orElseThrow();
      requests.merge(choice.upstream().id(), 1, Integer::sum);
    }
    assertThat(requests).hasSize(ENGINES);
    assertThat(requests.values()).allMatch(n -> n > 50 && n < 160);
  }

  @Test
  public void shouldPassAHotPrefixOnToTheNextEngineOnlyWhenItsOwnHasLongToRead() {
    Set<String> used = new HashSet<>();
    RequestHead head = prompt("hot", 5_000, 6_000);
    for (int i = 0; i < 9; i++) {
      Choice choice = choose(engines, head).orElseThrow();
      used.add(choice.upstream().id());
      send(choice);
    }
    assertThat(used).hasSize(2);
  }

  @Test
  public void shouldTakeTheSoonestWhenABurstOfLongPromptsFilledAll() {
    engines.forEach(engine -> engine.recordRequestStarted(60_000, 60_000));
    engines.get(5).recordPromptProcessed(20_000);
    Choice choice = choose(engines, prompt("session", 5_000, 600)).orElseThrow();
    assertThat(choice.upstream()).isSameAs(engines.get(5));
    assertThat(choice.reason()).isEqualTo(Reason.LEAST_WAIT);
  }

  @Test
  public void shouldMoveOnlyThePrefixesOfEnginesThatAreGone() {
    List<Upstream> left = new ArrayList<>(engines.subList(0, ENGINES / 2));
    for (int i = 0; i < 200; i++) {
      RequestHead head = prompt("session" + i, 100, 10);
      Upstream before = choose(engines, head).orElseThrow().upstream();
      Upstream after = choose(left, head).orElseThrow().upstream();
      if (left.contains(before)) {
        assertThat(after).isSameAs(before);
      }
    }
  }

  @Test
  public void shouldGiveNoEngineMoreRequestsThanItsSlotsAllow() {
    engines.forEach(
        engine -> {
          for (int i = 0; i < 80; i++) {
            engine.recordRequestStarted(0, 0);
          }
        });
    assertThat(choose(engines, prompt("session", 100, 10))).isEmpty();
  }

  /** Engines that ran out of memory read streams anew from the start; 336 of 347 never ended. */
  @Test
  public void shouldGiveNoEngineMoreTokensThanItsMemoryHolds() {
    RequestHead head = prompt("session", 5_000, 20_000);
    int placed = 0;
    for (int i = 0; i < 40 * ENGINES; i++) {
      Optional<Choice> choice = choose(engines, head);
      choice.ifPresent(
          c -> {
            c.upstream().recordRequestStarted(0, head.promptTokens());
          });
      placed += choice.isPresent() ? 1 : 0;
    }
    assertThat((long) placed * head.promptTokens()).isLessThan(ENGINES * MEMORY_TOKENS);
    assertThat(engines).allMatch(e -> e.memoryTokens() < MEMORY_TOKENS);
    assertThat(placed).isGreaterThan(ENGINES * 15);
  }

  @Test
  public void shouldShareCallsEvenlyAndRefuseThemOnlyWhenAllAreFull() {
    List<Upstream> desks = upstreams(3, 6);
    int placed = 0;
    Optional<Choice> choice = choose(desks, call());
    while (choice.isPresent()) {
      send(choice.get());
      placed++;
      choice = choose(desks, call());
    }
    assertThat(placed).isBetween(3 * 6, 3 * 6 * 3);
    assertThat(desks).extracting(Upstream::requests).allMatch(n -> n >= 6);
  }

  @Test
  public void shouldNotSendARequestToAnUpstreamAgain() {
    List<Upstream> desks = upstreams(2, 6);
    Upstream first = choose(desks, call()).orElseThrow().upstream();
    Choice second =
        placement.choose(desks, call(), TARGET_MILLIS, LIMITS, Set.of(first.id())).orElseThrow();
    assertThat(second.upstream()).isNotSameAs(first);
  }
}
