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

/** Members on a simulated network with partitions, silent links and an unreachable member. */
public class MembershipTest {

  private static final int SETTLE_MILLIS = 8_000;

  private record Delivery(long deliverAtMillis, String from, String to, ProbeMessage message) {}

  private Map<String, Membership> members;
  private List<Delivery> network;
  private Set<String> partitioned;
  private Set<String> silentLinks;
  private Set<String> reconnectedLinks;
  private String unreachableMember;
  private MembershipSettings settings;
  private SplittableRandom random;
  private long nowMillis;
  private int sentMessages;

  @BeforeMethod
  public void reset() {
    members = new TreeMap<>();
    network = new ArrayList<>();
    partitioned = Set.of();
    silentLinks = new HashSet<>();
    reconnectedLinks = new HashSet<>();
    unreachableMember = "";
    settings = MembershipSettings.defaults();
    random = new SplittableRandom(11);
    nowMillis = 0;
    sentMessages = 0;
  }

  private void startMember(String name, long incarnation) {
    Member self = new Member(name, incarnation, State.ALIVE, name, "zone-a", false);
    MembershipTransport transport =
        new MembershipTransport() {
          @Override
          public void send(String address, ProbeMessage message) {
            sentMessages++;
            network.add(new Delivery(nowMillis + 1 + random.nextInt(10), name, address, message));
          }

          @Override
          public void reconnect(String address) {
            reconnectedLinks.add(name + ">" + address);
            silentLinks.remove(name + ">" + address);
          }
        };
    members.put(
        name,
        Membership.create(
            settings, self, List.of("m1", "m2"), transport, random.split(), allMembers -> {}));
  }

  private void run(long millis) {
    for (long endMillis = nowMillis + millis; nowMillis < endMillis; nowMillis += 10) {
      members.values().forEach(member -> member.tick(nowMillis));
      List<Delivery> due =
          network.stream().filter(delivery -> delivery.deliverAtMillis() <= nowMillis).toList();
      network.removeAll(due);
      due.forEach(this::deliver);
    }
  }

  private void deliver(Delivery delivery) {
    boolean crossesPartition =
        partitioned.contains(delivery.from()) != partitioned.contains(delivery.to());
    boolean linkSilent = silentLinks.contains(delivery.from() + ">" + delivery.to());
    Membership target = members.get(delivery.to());
    boolean targetUnreachable = delivery.to().equals(unreachableMember);
    if (target != null && !crossesPartition && !linkSilent && !targetUnreachable) {
      target.receive(delivery.from(), delivery.message(), nowMillis);
    }
  }

  private Set<String> liveMembersSeenBy(String observer) {
    return members.get(observer).members().stream()
        .filter(Member::isLive)
        .map(Member::name)
        .collect(Collectors.toSet());
  }

  private void startMembers(int count) {
    for (int i = 1; i <= count; i++) {
      startMember("m" + i, 1);
    }
    run(SETTLE_MILLIS);
  }

  @Test
  public void shouldDiscoverAllMembersThroughSeeds() {
    startMembers(8);
    members.keySet().forEach(name -> assertThat(liveMembersSeenBy(name)).hasSize(8));
  }

  @Test
  public void shouldDeclareSilentMemberDead() {
    startMembers(8);
    members.remove("m5");
    run(SETTLE_MILLIS);
    members.keySet().forEach(name -> assertThat(liveMembersSeenBy(name)).hasSize(7));
  }

  @Test
  public void shouldReadmitMemberRestartedWithEmptyState() {
    startMembers(4);
    members.remove("m3");
    run(SETTLE_MILLIS);
    startMember("m3", 2);
    run(SETTLE_MILLIS);
    members.keySet().forEach(name -> assertThat(liveMembersSeenBy(name)).hasSize(4));
  }

  @DataProvider
  static Object[][] partitions() {
    return new Object[][] {{Set.of("m1")}, {Set.of("m1", "m2", "m3")}, {Set.of("m7", "m8")}};
  }

  @Test(dataProvider = "partitions")
  public void shouldSplitDuringPartitionAndMergeAfterIt(Set<String> side) {
    startMembers(8);
    partitioned = side;
    run(SETTLE_MILLIS);
    side.forEach(name -> assertThat(liveMembersSeenBy(name)).isEqualTo(side));
    partitioned = Set.of();
    run(2 * SETTLE_MILLIS);
    members.keySet().forEach(name -> assertThat(liveMembersSeenBy(name)).hasSize(8));
  }

  @Test
  public void shouldReconnectSilentLinkWhileOthersWork() {
    startMembers(5);
    silentLinks.add("m1>m2");
    run(SETTLE_MILLIS);
    assertThat(reconnectedLinks).contains("m1>m2");
    assertThat(liveMembersSeenBy("m1")).hasSize(5);
  }

  @Test
  public void shouldNotifyOthersWhenLeaving() {
    startMembers(4);
    members.get("m2").leave();
    run(100);
    assertThat(liveMembersSeenBy("m1")).doesNotContain("m2");
  }

  @DataProvider
  static Object[][] fleetSizes() {
    return new Object[][] {{8}, {32}, {96}};
  }

  @Test(dataProvider = "fleetSizes")
  public void shouldSendSameMessageRatePerMemberAtAnyFleetSize(int size) {
    startMembers(size);
    run(SETTLE_MILLIS);
    sentMessages = 0;
    run(6_000);
    double messagesPerMemberAndPeriod = sentMessages / (double) size / 10;
    assertThat(messagesPerMemberAndPeriod).isBetween(1.5, 2.5);
  }

  @Test
  public void shouldReconnectEverySilentLinkWithinOneProbeRotation() {
    startMembers(6);
    for (int i = 2; i <= 6; i++) {
      silentLinks.add("m" + i + ">m1");
    }
    int rotationAndTwoPeriods = 5 + 2;
    run((long) rotationAndTwoPeriods * MembershipSettings.defaults().probePeriodMillis());
    assertThat(silentLinks).isEmpty();
    run(SETTLE_MILLIS);
    members.keySet().forEach(name -> assertThat(liveMembersSeenBy(name)).as(name).hasSize(6));
  }

  @DataProvider
  static Object[][] smallFleetSizes() {
    return new Object[][] {{3}, {4}, {8}};
  }

  @Test(dataProvider = "smallFleetSizes")
  public void shouldReadmitMemberAfterItWasUnreachable(int size) {
    startMembers(size);
    unreachableMember = "m1";
    run(4 * SETTLE_MILLIS);
    unreachableMember = "";
    run(SETTLE_MILLIS);
    members.keySet().forEach(name -> assertThat(liveMembersSeenBy(name)).as(name).hasSize(size));
  }

  @Test
  public void shouldEvictDepartedMemberAfterRetention() {
    settings = MembershipSettings.defaults().withDepartedRetentionMillis(SETTLE_MILLIS);
    startMembers(4);
    members.remove("m3");
    run(3L * SETTLE_MILLIS);
    for (Membership member : members.values()) {
      assertThat(member.members()).extracting(Member::name).doesNotContain("m3");
    }
    startMember("m3", 9);
    run(SETTLE_MILLIS);
    members.keySet().forEach(name -> assertThat(liveMembersSeenBy(name)).hasSize(4));
  }
}
