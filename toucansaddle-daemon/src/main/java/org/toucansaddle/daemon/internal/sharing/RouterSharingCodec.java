package org.toucansaddle.daemon.internal.sharing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.toucansaddle.coordination.sharing.AccountDemand;
import org.toucansaddle.coordination.sharing.Lease;
import org.toucansaddle.coordination.sharing.SlotUsage;
import org.toucansaddle.coordination.sharing.UpstreamSlots;
import org.toucansaddle.daemon.internal.sharing.RouterPool.DemandSnapshot;
import org.toucansaddle.protocol.generated.Demand;
import org.toucansaddle.protocol.generated.HeldUpstream;
import org.toucansaddle.protocol.generated.SlotLease;
import org.toucansaddle.protocol.generated.UpstreamInfo;

/**
 * Encodes a router's demands and decodes its leases, for one pool.
 *
 * <p>It is the counterpart of {@link DispatcherSharingCodec}. Not thread-safe.
 */
final class RouterSharingCodec {

  private final String pool;
  private final String router;
  private final Map<Integer, UpstreamSlots> upstreamsByHandle = new HashMap<>();
  private final Map<String, Integer> handlesById = new HashMap<>();
  private final Map<Integer, Long> sentServiceTotals = new HashMap<>();
  private long leaseEpoch;
  private long demandSequence;

  RouterSharingCodec(String pool, String router) {
    this.pool = pool;
    this.router = router;
  }

  /** Clears the handles and service totals, which are known to the previous dispatcher only. */
  void reset() {
    upstreamsByHandle.clear();
    handlesById.clear();
    sentServiceTotals.clear();
    leaseEpoch = 0;
  }

  /**
   * Returns the lease of a message, or nothing if it refers to an earlier message that never
   * arrived.
   */
  Optional<Lease> decode(SlotLease message, DemandSnapshot snapshot) {
    if (message.getEpoch() != leaseEpoch) {
      reset();
      leaseEpoch = message.getEpoch();
    }
    boolean isApplied =
        snapshot.leaseEpoch() == message.getEpoch()
            && snapshot.leaseSequence() == message.getSequence();
    if (message.getRenewal() && !isApplied) {
      return Optional.empty();
    }
    message.getUpstreamsList().forEach(this::registerUpstream);
    Map<String, Integer> slots = new HashMap<>();
    Map<String, UpstreamSlots> upstreamsById = new HashMap<>();
    for (int i = 0; i < Math.min(message.getHandlesCount(), message.getSlotsCount()); i++) {
      UpstreamSlots upstream = upstreamsByHandle.get(message.getHandles(i));
      if (upstream == null) {
        return Optional.empty();
      }
      slots.put(upstream.id(), message.getSlots(i));
      upstreamsById.put(upstream.id(), upstream);
    }
    return Optional.of(
        new Lease(
            router,
            message.getEpoch(),
            message.getSequence(),
            message.getValidMillis(),
            message.getWanted(),
            slots,
            upstreamsById,
            decodeQuotas(message)));
  }

  private void registerUpstream(UpstreamInfo info) {
    UpstreamSlots upstream =
        new UpstreamSlots(
            info.getId(), info.getIncarnation(), info.getAddress(), info.getZone(), 0, false);
    upstreamsByHandle.put(info.getHandle(), upstream);
    handlesById.put(info.getId(), info.getHandle());
  }

  private static Map<Integer, Integer> decodeQuotas(SlotLease message) {
    Map<Integer, Integer> quotas = new HashMap<>();
    for (int i = 0; i < Math.min(message.getQuotaAccountsCount(), message.getQuotasCount()); i++) {
      quotas.put(message.getQuotaAccounts(i), message.getQuotas(i));
    }
    return quotas;
  }

  /** Returns the message for the router's demand; it contains only service totals that changed. */
  Demand encode(DemandSnapshot snapshot, Map<Integer, Long> serviceTotals) {
    Demand.Builder builder =
        Demand.newBuilder()
            .setPool(pool)
            .setSequence(++demandSequence)
            .setLeaseEpoch(snapshot.leaseEpoch())
            .setLeaseSequence(snapshot.leaseSequence());
    snapshot.accounts().forEach((account, demand) -> addAccount(builder, account, demand));
    snapshot.upstreams().forEach((id, usage) -> addUpstreamUsage(builder, id, usage));
    serviceTotals.forEach(
        (account, total) -> {
          if (!total.equals(sentServiceTotals.put(account, total))) {
            builder.addServiceAccounts(account).addServiceTokens(total);
          }
        });
    return builder.build();
  }

  private static void addAccount(Demand.Builder builder, int account, AccountDemand demand) {
    builder.addAccounts(account).addWaiting(demand.waiting()).addInFlight(demand.inFlight());
  }

  private void addUpstreamUsage(Demand.Builder builder, String id, SlotUsage usage) {
    Integer handle = handlesById.get(id);
    if (handle != null) {
      builder
          .addUpstreamHandles(handle)
          .addUpstreamInFlight(usage.inFlight())
          .addUpstreamIdle(usage.idle());
    } else {
      builder.addHeld(
          HeldUpstream.newBuilder().setId(id).setInFlight(usage.inFlight()).setIdle(usage.idle()));
    }
  }
}
