package org.toucansaddle.daemon.internal.gateway.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.protocol.generated.DigestStrike;

/** Tests of strikes that are on their way between daemons while a success clears them. */
public class ClearedStrikesTest {

  private static final long DIGEST = 7;
  private static final long PART = 8;
  private static final Set<Long> PARTS = Set.of(PART);
  private static final int ROUTERS = 7;
  private static final int CONTROLS = 5;
  private static final int ROUND_MILLIS = 5;

  /** Longest time of a message on its way, in rounds. */
  private static final int MAX_ROUNDS_ON_THE_WAY = 6;

  private static final int HEARTBEAT_ROUNDS = 80;

  /** Rounds of 20 heartbeats, in which the last message has crossed all links many times. */
  private static final int MAX_ROUNDS = 1_600;

  private AtomicLong clock;
  private RequestQuarantine local;
  private RequestQuarantine remote;

  @BeforeMethod
  public void createQuarantines() {
    clock = new AtomicLong();
    local = new RequestQuarantine(clock::get);
    remote = new RequestQuarantine(clock::get);
  }

  private void strike(RequestQuarantine quarantine, String upstream) {
    passMillis(1_000);
    quarantine.recordStrike(DIGEST, PARTS, upstream);
  }

  private void passMillis(long millis) {
    clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  private void assertClear(RequestQuarantine quarantine) {
    assertThat(quarantine.strikeCount(DIGEST)).isZero();
    assertThat(quarantine.strikeCount(PART)).isZero();
  }

  private void succeed(RequestQuarantine quarantine) {
    quarantine.recordSuccess(DIGEST);
    quarantine.recordSurvival(PARTS);
  }

  /** Guards against cleared strikes that come back from a daemon which has not cleared them. */
  @Test
  public void shouldNotTakeBackStrikesThatWereCleared() {
    for (int i = 0; i < 3; i++) {
      strike(local, "u" + i);
    }
    remote.merge(local.strikesAfter(0));
    succeed(local);
    passMillis(1_000);
    assertThat(local.merge(remote.strikesAfter(0))).isFalse();
    assertClear(local);
    remote.mergeSuccesses(local.successesAfter(0));
    assertClear(remote);
  }

  /** Guards against strikes that stay because they arrive after the success that clears them. */
  @Test
  public void shouldIgnoreStrikesFromBeforeASuccessThatArrivesBeforeThem() {
    for (int i = 0; i < 3; i++) {
      strike(local, "u" + i);
    }
    passMillis(100);
    List<DigestStrike> onTheirWay = local.strikesAfter(0);
    succeed(local);
    passMillis(50);
    remote.mergeSuccesses(local.successesAfter(0));
    assertThat(remote.merge(onTheirWay)).isFalse();
    assertClear(remote);
  }

  @Test
  public void shouldCountStrikesFromAfterASuccess() {
    strike(local, "u1");
    succeed(local);
    for (int i = 2; i < 5; i++) {
      strike(local, "u" + i);
      remote.merge(local.strikesAfter(0));
    }
    assertThat(local.isQuarantined(DIGEST)).isTrue();
    assertThat(remote.isQuarantined(DIGEST)).isTrue();
    assertThat(remote.strikeCount(PART)).isEqualTo(3);
  }

  /** Guards against strikes that stay at a daemon if the router that reported them has stopped. */
  @Test
  public void shouldReportSuccessAgainToDaemonThatStillHasItsStrikes() {
    for (int i = 0; i < 3; i++) {
      strike(remote, "u" + i);
    }
    passMillis(100);
    local.recordSurvival(PARTS);
    assertThat(local.successesAfter(0)).isEmpty();
    local.merge(remote.strikesAfter(0));
    assertThat(local.successesAfter(0)).containsExactly(PART);
    remote.mergeSuccesses(local.successesAfter(0));
    assertThat(remote.strikeCount(PART)).isZero();
    assertThat(remote.isQuarantined(DIGEST)).isTrue();
  }

  /** Guards against old strikes whose success clears those of a part that became deadly since. */
  @Test
  public void shouldNotReportSuccessAgainIfThereAreStrikesFromAfterIt() {
    strike(local, "u1");
    remote.merge(local.strikesAfter(0));
    succeed(local);
    long change = local.lastChange();
    strike(remote, "u2");
    local.merge(remote.strikesAfter(0));
    assertThat(local.successesAfter(change)).isEmpty();
    assertThat(local.strikeCount(PART)).isEqualTo(1);
  }

  @DataProvider
  public Object[][] seeds() {
    return IntStream.rangeClosed(1, 20).mapToObj(s -> new Object[] {s}).toArray(Object[][]::new);
  }

  /** Guards against daemons that send each other cleared strikes without end. */
  @Test(dataProvider = "seeds")
  public void shouldStopExchangingStrikesThatWereCleared(int seed) {
    Fleet fleet = new Fleet(new Random(seed));
    fleet.strikeAtRouter(0, "u0");
    fleet.strikeAtRouter(1, "u1");
    assertThat(fleet.runUntilQuiet()).as("seed %s: quiet before the success", seed).isTrue();
    fleet.strikeAtRouter(2, "u2");
    fleet.succeedAtRouter(3);
    fleet.runRounds(1);
    fleet.succeedAtRouter(4);
    assertThat(fleet.runUntilQuiet()).as("seed %s: quiet after the success", seed).isTrue();
    fleet.daemons().forEach(this::assertClear);
  }

  /** Strikes and successes that a daemon received, and the round in which they arrive. */
  private record Message(int round, List<Long> successes, List<DigestStrike> strikes) {}

  /** A stream between two daemons; what is sent first arrives first. */
  private final class Link {
    private final RequestQuarantine from;
    private final RequestQuarantine to;
    private final boolean fromRouter;
    private final Queue<Message> messages = new ArrayDeque<>();
    private long lastSent;
    private int lastRound;

    Link(RequestQuarantine from, RequestQuarantine to, boolean fromRouter) {
      this.from = from;
      this.to = to;
      this.fromRouter = fromRouter;
    }

    boolean hasChanges() {
      return from.lastChange() > lastSent;
    }

    /** Sends changes; a control daemon sends successes alone with its next heartbeat. */
    void send(int arrivalRound, boolean heartbeat) {
      long change = from.lastChange();
      if (hasChanges() && (fromRouter || heartbeat || from.lastSpreadChange() > lastSent)) {
        List<DigestStrike> strikes =
            fromRouter ? from.strikesAfter(lastSent) : from.spreadStrikesAfter(lastSent);
        lastRound = Math.max(lastRound, arrivalRound);
        messages.add(new Message(lastRound, from.successesAfter(lastSent), strikes));
        lastSent = change;
      }
    }

    void deliver(int round) {
      while (!messages.isEmpty() && messages.peek().round() <= round) {
        Message message = messages.remove();
        to.mergeSuccesses(message.successes());
        to.merge(message.strikes());
      }
    }
  }

  /**
   * Routers and control daemons, each router linked with each control daemon in both directions.
   */
  private final class Fleet {
    private final Random random;
    private final List<RequestQuarantine> routers = new ArrayList<>();
    private final List<Link> links = new ArrayList<>();
    private int round;

    Fleet(Random random) {
      this.random = random;
      IntStream.range(0, ROUTERS).forEach(i -> routers.add(new RequestQuarantine(clock::get)));
      for (int control = 0; control < CONTROLS; control++) {
        RequestQuarantine quarantine = new RequestQuarantine(clock::get);
        for (RequestQuarantine router : routers) {
          links.add(new Link(router, quarantine, true));
          links.add(new Link(quarantine, router, false));
        }
      }
    }

    Stream<RequestQuarantine> daemons() {
      return links.stream().map(link -> link.to).distinct();
    }

    void strikeAtRouter(int router, String upstream) {
      strike(routers.get(router), upstream);
    }

    void succeedAtRouter(int router) {
      succeed(routers.get(router));
    }

    void runRounds(int rounds) {
      for (int i = 0; i < rounds; i++) {
        round++;
        passMillis(ROUND_MILLIS);
        boolean heartbeat = round % HEARTBEAT_ROUNDS == 0;
        links.forEach(
            link -> link.send(round + 1 + random.nextInt(MAX_ROUNDS_ON_THE_WAY), heartbeat));
        links.forEach(link -> link.deliver(round));
      }
    }

    /** Returns whether all daemons stop sending before the maximum of rounds. */
    boolean runUntilQuiet() {
      int lastRound = round + MAX_ROUNDS;
      boolean quiet = false;
      while (!quiet && round < lastRound) {
        runRounds(1);
        quiet = links.stream().allMatch(link -> link.messages.isEmpty() && !link.hasChanges());
      }
      return quiet;
    }
  }
}
