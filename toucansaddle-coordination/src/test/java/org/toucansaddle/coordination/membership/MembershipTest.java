package org.toucansaddle.coordination.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.membership.Member.State;

/** Members over a network that can be cut. */
public class MembershipTest {

  private static final int SETTLE_MILLIS = 8_000;

  private record Message(long at, String from, String to, ProbeMessage probe) {}

  private Map<String, Membership> members;
  private List<Message> network;
  private Set<String> cut;
  private Set<String> silentPairs;
  private Set<String> reconnected;
  private String unreachable;
  private MembershipSettings settings;
  private SplittableRandom random;
  private long now;
  private int sent;

  @BeforeMethod
  public void reset() {
    members = new TreeMap<>();
    network = new ArrayList<>();
    cut = Set.of();
    silentPairs = new HashSet<>();
    reconnected = new HashSet<>();
    unreachable = "";
    settings = MembershipSettings.defaults();
    random = new SplittableRandom(11);
    now = 0;
    sent = 0;
  }

  private void join(String name, long incarnation) {
    Member self = new Member(name, incarnation, State.ALIVE, name, "zone-a", false);
    MembershipTransport transport =
        new MembershipTransport() {
          @Override
          public void send(String address, ProbeMessage message) {
            sent++;
            network.add(new Message(now + 1 + random.nextInt(10), name, address, message));
          }

          @Override
          public void reconnect(String address) {
            reconnected.add(name + ">" + address);
            silentPairs.remove(name + ">" + address);
          }
        };
    members.put(
        name,
        Membership.create(
            settings, self, List.of("m1", "m2"), transport, random.split(), all -> {}));
  }

  private void run(long millis) {
    for (long end = now + millis; now < end; now += 10) {
      members.values().forEach(member -> member.tick(now));
      List<Message> due = network.stream().filter(m -> m.at() <= now).toList();
      network.removeAll(due);
      due.forEach(this::deliver);
    }
  }

  private void deliver(Message message) {
    boolean lost = cut.contains(message.from()) != cut.contains(message.to());
    boolean silent = silentPairs.contains(message.from() + ">" + message.to());
    Membership to = members.get(message.to());
    boolean dropped = message.to().equals(unreachable);
    if (to != null && !lost && !silent && !dropped) {
      to.receive(message.from(), message.probe(), now);
    }
  }

  private Set<String> seenAlive(String by) {
    return members.get(by).members().stream()
        .filter(Member::isLive)
        .map(Member::name)
        .collect(Collectors.toSet());
  }

  private void start(int count) {
    for (int i = 1; i <= count; i++) {
      join("m" + i, 1);
    }
    run(SETTLE_MILLIS);
  }

  @Test
  public void shouldFindAllMembersThroughSeeds() {
    start(8);
    members.keySet().forEach(name -> assertThat(seenAlive(name)).hasSize(8));
  }

  @Test
  public void shouldDeclareSilentMemberDead() {
    start(8);
    members.remove("m5");
    run(SETTLE_MILLIS);
    members.keySet().forEach(name -> assertThat(seenAlive(name)).hasSize(7));
  }

  @Test
  public void shouldTakeRestartedMemberBackWithEmptyState() {
    start(4);
    members.remove("m3");
    run(SETTLE_MILLIS);
    join("m3", 2);
    run(SETTLE_MILLIS);
    members.keySet().forEach(name -> assertThat(seenAlive(name)).hasSize(4));
  }

  @DataProvider
  static Object[][] partitions() {
    return new Object[][] {{Set.of("m1")}, {Set.of("m1", "m2", "m3")}, {Set.of("m7", "m8")}};
  }

  @Test(dataProvider = "partitions")
  public void shouldSplitAndHealWithAPartition(Set<String> side) {
    start(8);
    cut = side;
    run(SETTLE_MILLIS);
    side.forEach(name -> assertThat(seenAlive(name)).isEqualTo(side));
    cut = Set.of();
    run(2 * SETTLE_MILLIS);
    members.keySet().forEach(name -> assertThat(seenAlive(name)).hasSize(8));
  }

  @Test
  public void shouldReplaceConnectionThatWentSilentWhileOthersWork() {
    start(5);
    silentPairs.add("m1>m2");
    run(SETTLE_MILLIS);
    assertThat(reconnected).contains("m1>m2");
    assertThat(seenAlive("m1")).hasSize(5);
  }

  @Test
  public void shouldTellOthersWhenLeaving() {
    start(4);
    members.get("m2").leave();
    run(100);
    assertThat(seenAlive("m1")).doesNotContain("m2");
  }

  @DataProvider
  static Object[][] sizes() {
    return new Object[][] {{8}, {32}, {96}};
  }

  @Test(dataProvider = "sizes")
  public void shouldSendAsManyMessagesInALargeFleetAsInASmall(int size) {
    start(size);
    run(SETTLE_MILLIS);
    sent = 0;
    run(6_000);
    double perMemberAndPeriod = sent / (double) size / 10;
    assertThat(perMemberAndPeriod).isBetween(1.5, 2.5);
  }

  @Test
  public void shouldReopenEverySilentConnectionWithinOneRoundOfProbes() {
    start(6);
    for (int i = 2; i <= 6; i++) {
      silentPairs.add("m" + i + ">m1");
    }
    int roundAndTwoPeriods = 5 + 2;
    run((long) roundAndTwoPeriods * MembershipSettings.defaults().periodMillis());
    assertThat(silentPairs).isEmpty();
    run(SETTLE_MILLIS);
    members.keySet().forEach(name -> assertThat(seenAlive(name)).as(name).hasSize(6));
  }

  @DataProvider
  static Object[][] smallFleets() {
    return new Object[][] {{3}, {4}, {8}};
  }

  @Test(dataProvider = "smallFleets")
  public void shouldHealAfterNothingReachedAMember(int size) {
    start(size);
    unreachable = "m1";
    run(4 * SETTLE_MILLIS);
    unreachable = "";
    run(SETTLE_MILLIS);
    members.keySet().forEach(name -> assertThat(seenAlive(name)).as(name).hasSize(size));
  }

  @Test
  public void shouldForgetAMemberThatIsGoneForLong() {
    settings = MembershipSettings.defaults().withForgetMillis(SETTLE_MILLIS);
    start(4);
    members.remove("m3");
    run(3L * SETTLE_MILLIS);
    for (Membership member : members.values()) {
      assertThat(member.members()).extracting(Member::name).doesNotContain("m3");
    }
    join("m3", 9);
    run(SETTLE_MILLIS);
    members.keySet().forEach(name -> assertThat(seenAlive(name)).hasSize(4));
  }
}
