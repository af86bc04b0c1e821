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

/** Checks that leases and demands survive encoding and decoding, and that renewals are small. */
public class SharingCodecTest {

  private static final UpstreamSlots UPSTREAM =
      new UpstreamSlots("u1", 4, "127.0.0.1:9", "zone-a", 0, false);
  private static final PeerIdentity ROUTER = new PeerIdentity("r1", "127.0.0.1:1", 1);

  private DispatcherSharingCodec dispatcherCodec;
  private RouterSharingCodec routerCodec;

  @BeforeMethod
  public void createCodecs() {
    dispatcherCodec = new DispatcherSharingCodec("model/m");
    routerCodec = new RouterSharingCodec("model/m", "r1");
  }

  private static Lease createLease(long sequence, int slots) {
    return new Lease(
        "r1", 50, sequence, 2_500, true, Map.of("u1", slots), Map.of("u1", UPSTREAM), Map.of(3, 2));
  }

  private static DemandSnapshot createSnapshot(long epoch, long sequence) {
    return new DemandSnapshot(
        epoch, sequence, Map.of(3, new AccountDemand(5, 2)), Map.of("u1", new SlotUsage(2, 1)));
  }

  @Test
  public void shouldRoundTripLease() {
    Optional<Lease> decoded =
        routerCodec.decode(dispatcherCodec.encode(createLease(1, 3)), createSnapshot(0, 0));
    assertThat(decoded).contains(createLease(1, 3));
  }

  @Test
  public void shouldRoundTripDemand() {
    routerCodec.decode(dispatcherCodec.encode(createLease(1, 3)), createSnapshot(0, 0));
    RouterDemand decoded =
        dispatcherCodec.decode(
            ROUTER, routerCodec.encode(createSnapshot(50, 1), Map.of(3, 900L)), 50);
    assertThat(decoded.accounts()).isEqualTo(Map.of(3, new AccountDemand(5, 2)));
    assertThat(decoded.upstreams()).isEqualTo(Map.of("u1", new SlotUsage(2, 1)));
    assertThat(decoded.service()).isEqualTo(Map.of(3, 900L));
  }

  @Test
  public void shouldSendUnchangedServiceTotalOnlyOnce() {
    routerCodec.encode(createSnapshot(50, 1), Map.of(3, 900L));
    assertThat(routerCodec.encode(createSnapshot(50, 1), Map.of(3, 900L)).getServiceAccountsCount())
        .isZero();
  }

  @Test
  public void shouldDescribeUpstreamUntilRouterUsesItsHandle() {
    assertThat(dispatcherCodec.encode(createLease(1, 3)).getUpstreamsCount()).isEqualTo(1);
    assertThat(dispatcherCodec.encode(createLease(2, 2)).getUpstreamsCount()).isEqualTo(1);
    routerCodec.decode(dispatcherCodec.encode(createLease(2, 2)), createSnapshot(0, 0));
    dispatcherCodec.decode(ROUTER, routerCodec.encode(createSnapshot(50, 2), Map.of()), 50);
    assertThat(dispatcherCodec.encode(createLease(3, 1)).getUpstreamsCount()).isZero();
  }

  @Test
  public void shouldEncodeAppliedLeaseAsShortRenewal() {
    routerCodec.decode(dispatcherCodec.encode(createLease(1, 3)), createSnapshot(0, 0));
    dispatcherCodec.decode(ROUTER, routerCodec.encode(createSnapshot(50, 1), Map.of()), 50);
    SlotLease renewal = dispatcherCodec.encode(createLease(1, 3));
    assertThat(renewal.getRenewal()).isTrue();
    assertThat(renewal.getSerializedSize()).isLessThan(32);
  }

  @Test
  public void shouldNotDecodeRenewalOfLeaseThatNeverArrived() {
    SlotLease renewal = SlotLease.newBuilder().setEpoch(50).setSequence(4).setRenewal(true).build();
    assertThat(routerCodec.decode(renewal, createSnapshot(50, 3))).isEmpty();
  }

  @Test
  public void shouldSendUpstreamIdsToNewDispatcher() {
    routerCodec.decode(dispatcherCodec.encode(createLease(1, 3)), createSnapshot(0, 0));
    routerCodec.reset();
    DispatcherSharingCodec newDispatcherCodec = new DispatcherSharingCodec("model/m");
    RouterDemand decoded =
        newDispatcherCodec.decode(ROUTER, routerCodec.encode(createSnapshot(50, 1), Map.of()), 60);
    assertThat(decoded.upstreams()).isEqualTo(Map.of("u1", new SlotUsage(2, 1)));
  }
}
