package org.toucansaddle.daemon.internal.sharing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.sharing.AccountDemand;
import org.toucansaddle.coordination.sharing.Lease;
import org.toucansaddle.coordination.sharing.RouterDemand;
import org.toucansaddle.coordination.sharing.SlotUsage;
import org.toucansaddle.coordination.sharing.UpstreamSlots;
import org.toucansaddle.daemon.internal.peer.PeerIdentity;
import org.toucansaddle.daemon.internal.sharing.RouterPool.DemandSnapshot;
import org.toucansaddle.protocol.generated.SlotLease;

/** Leases and demands on the wire. */
public class SharingCodecTest {

  private static final UpstreamSlots UPSTREAM =
      new UpstreamSlots("u1", 4, "127.0.0.1:9", "zone-a", 0, false);
  private static final PeerIdentity ROUTER = new PeerIdentity("r1", "127.0.0.1:1", 1);

  private DispatcherSharingCodec dispatcher;
  private RouterSharingCodec router;

  @BeforeMethod
  public void createWires() {
    dispatcher = new DispatcherSharingCodec("model/m");
    router = new RouterSharingCodec("model/m", "r1");
  }

  private static Lease lease(long sequence, int slots) {
    return new Lease(
        "r1", 50, sequence, 2_500, true, Map.of("u1", slots), Map.of("u1", UPSTREAM), Map.of(3, 2));
  }

  private static DemandSnapshot view(long epoch, long sequence) {
    return new DemandSnapshot(
        epoch, sequence, Map.of(3, new AccountDemand(5, 2)), Map.of("u1", new SlotUsage(2, 1)));
  }

  @Test
  public void shouldCarryLease() {
    Optional<Lease> received = router.decode(dispatcher.encode(lease(1, 3)), view(0, 0));
    assertThat(received).contains(lease(1, 3));
  }

  @Test
  public void shouldCarryDemand() {
    router.decode(dispatcher.encode(lease(1, 3)), view(0, 0));
    RouterDemand received =
        dispatcher.decode(ROUTER, router.encode(view(50, 1), Map.of(3, 900L)), 50);
    assertThat(received.accounts()).isEqualTo(Map.of(3, new AccountDemand(5, 2)));
    assertThat(received.upstreams()).isEqualTo(Map.of("u1", new SlotUsage(2, 1)));
    assertThat(received.service()).isEqualTo(Map.of(3, 900L));
  }

  @Test
  public void shouldSendUnchangedServiceOnce() {
    router.encode(view(50, 1), Map.of(3, 900L));
    assertThat(router.encode(view(50, 1), Map.of(3, 900L)).getServiceAccountsCount()).isZero();
  }

  @Test
  public void shouldTellUpstreamUntilTheRouterUsedItsNumber() {
    assertThat(dispatcher.encode(lease(1, 3)).getUpstreamsCount()).isEqualTo(1);
    assertThat(dispatcher.encode(lease(2, 2)).getUpstreamsCount()).isEqualTo(1);
    router.decode(dispatcher.encode(lease(2, 2)), view(0, 0));
    dispatcher.decode(ROUTER, router.encode(view(50, 2), Map.of()), 50);
    assertThat(dispatcher.encode(lease(3, 1)).getUpstreamsCount()).isZero();
  }

  @Test
  public void shouldRenewInShortOnceApplied() {
    router.decode(dispatcher.encode(lease(1, 3)), view(0, 0));
    dispatcher.decode(ROUTER, router.encode(view(50, 1), Map.of()), 50);
    SlotLease renewal = dispatcher.encode(lease(1, 3));
    assertThat(renewal.getRenewal()).isTrue();
    assertThat(renewal.getSerializedSize()).isLessThan(32);
  }

  @Test
  public void shouldAskAgainForLeaseThatNeverArrived() {
    SlotLease renewal = SlotLease.newBuilder().setEpoch(50).setSequence(4).setRenewal(true).build();
    assertThat(router.decode(renewal, view(50, 3))).isEmpty();
  }

  @Test
  public void shouldNameUpstreamsInFullToANewDispatcher() {
    router.decode(dispatcher.encode(lease(1, 3)), view(0, 0));
    router.reset();
    DispatcherSharingCodec next = new DispatcherSharingCodec("model/m");
    RouterDemand received = next.decode(ROUTER, router.encode(view(50, 1), Map.of()), 60);
    assertThat(received.upstreams()).isEqualTo(Map.of("u1", new SlotUsage(2, 1)));
  }
}
