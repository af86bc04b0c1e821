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

/** A router's side of leases and demands on the wire, for one pool. Not thread-safe. */
final class RouterSharingCodec {

  private final String pool;
  private final String router;
  private final Map<Integer, UpstreamSlots> upstreams = new HashMap<>();
  private final Map<String, Integer> handles = new HashMap<>();
  private final Map<Integer, Long> sentService = new HashMap<>();
  private long epoch;
  private long sequence;

  RouterSharingCodec(String pool, String router) {
    this.pool = pool;
    this.router = router;
  }

  /** Forgets the numbers and totals that an earlier dispatcher knows. */
  void reset() {
    upstreams.clear();
    handles.clear();
    sentService.clear();
    epoch = 0;
  }

  /** Returns the lease of a message, or nothing if it builds on a message that never arrived. */
  Optional<Lease> decode(SlotLease in, DemandSnapshot view) {
    if (in.getEpoch() != epoch) {
      reset();
      epoch = in.getEpoch();
    }
    boolean applied =
        view.leaseEpoch() == in.getEpoch() && view.leaseSequence() == in.getSequence();
    if (in.getRenewal() && !applied) {
      return Optional.empty();
    }
    in.getUpstreamsList().forEach(this::learn);
    Map<String, Integer> slots = new HashMap<>();
    Map<String, UpstreamSlots> named = new HashMap<>();
    for (int i = 0; i < Math.min(in.getHandlesCount(), in.getSlotsCount()); i++) {
      UpstreamSlots upstream = upstreams.get(in.getHandles(i));
      if (upstream == null) {
        return Optional.empty();
      }
      slots.put(upstream.id(), in.getSlots(i));
      named.put(upstream.id(), upstream);
    }
    return Optional.of(
        new Lease(
            router,
            in.getEpoch(),
            in.getSequence(),
            in.getValidMillis(),
            in.getWanted(),
            slots,
            named,
            quotas(in)));
  }

  private void learn(UpstreamInfo info) {
    UpstreamSlots upstream =
        new UpstreamSlots(
            info.getId(), info.getIncarnation(), info.getAddress(), info.getZone(), 0, false);
    upstreams.put(info.getHandle(), upstream);
    handles.put(info.getId(), info.getHandle());
  }

  private static Map<Integer, Integer> quotas(SlotLease in) {
    Map<Integer, Integer> quotas = new HashMap<>();
    for (int i = 0; i < Math.min(in.getQuotaAccountsCount(), in.getQuotasCount()); i++) {
      quotas.put(in.getQuotaAccounts(i), in.getQuotas(i));
    }
    return quotas;
  }

  /** Returns the message for the router's demand; only totals that changed are named. */
  Demand encode(DemandSnapshot view, Map<Integer, Long> service) {
    Demand.Builder out =
        Demand.newBuilder()
            .setPool(pool)
            .setSequence(++sequence)
            .setLeaseEpoch(view.leaseEpoch())
            .setLeaseSequence(view.leaseSequence());
    view.accounts().forEach((account, demand) -> add(out, account, demand));
    view.upstreams().forEach((id, usage) -> add(out, id, usage));
    service.forEach(
        (account, total) -> {
          if (!total.equals(sentService.put(account, total))) {
            out.addServiceAccounts(account).addServiceTokens(total);
          }
        });
    return out.build();
  }

  private static void add(Demand.Builder out, int account, AccountDemand demand) {
    out.addAccounts(account).addWaiting(demand.waiting()).addInFlight(demand.inFlight());
  }

  private void add(Demand.Builder out, String id, SlotUsage usage) {
    Integer handle = handles.get(id);
    if (handle != null) {
      out.addUpstreamHandles(handle)
          .addUpstreamInFlight(usage.inFlight())
          .addUpstreamIdle(usage.idle());
    } else {
      out.addHeld(
          HeldUpstream.newBuilder().setId(id).setInFlight(usage.inFlight()).setIdle(usage.idle()));
    }
  }
}
