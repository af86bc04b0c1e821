package org.toucansaddle.daemon.internal.sharing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.toucansaddle.coordination.sharing.AccountDemand;
import org.toucansaddle.coordination.sharing.Lease;
import org.toucansaddle.coordination.sharing.RouterDemand;
import org.toucansaddle.coordination.sharing.SlotUsage;
import org.toucansaddle.coordination.sharing.UpstreamSlots;
import org.toucansaddle.daemon.internal.peer.PeerIdentity;
import org.toucansaddle.protocol.generated.Demand;
import org.toucansaddle.protocol.generated.HeldUpstream;
import org.toucansaddle.protocol.generated.SlotLease;
import org.toucansaddle.protocol.generated.UpstreamInfo;

/**
 * The dispatcher's side of leases and demands on the wire.
 *
 * <p>Upstreams travel as small numbers; a router is told what a number means until it used the
 * number itself. Not thread-safe.
 */
final class DispatcherSharingCodec {

  private final String pool;
  private final Map<String, Integer> handles = new HashMap<>();
  private final Map<Integer, String> ids = new HashMap<>();
  private final Map<String, Set<Integer>> knownHandles = new HashMap<>();
  private final Map<String, Long> acknowledged = new HashMap<>();

  DispatcherSharingCodec(String pool) {
    this.pool = pool;
  }

  /** Returns the message for a lease; a renewal that the router has applied is short. */
  SlotLease encode(Lease lease) {
    SlotLease.Builder out =
        SlotLease.newBuilder()
            .setPool(pool)
            .setEpoch(lease.epoch())
            .setSequence(lease.sequence())
            .setValidMillis(lease.validMillis());
    if (acknowledged.getOrDefault(lease.router(), -1L) == lease.sequence()) {
      return out.setRenewal(true).build();
    }
    out.setWanted(lease.wanted());
    Set<Integer> known = knownHandles.computeIfAbsent(lease.router(), r -> new HashSet<>());
    lease
        .slots()
        .forEach(
            (id, slots) -> {
              int handle = handle(id);
              out.addHandles(handle).addSlots(slots);
              if (!known.contains(handle)) {
                out.addUpstreams(info(handle, lease.upstreams().get(id)));
              }
            });
    lease.quotas().forEach((account, quota) -> out.addQuotaAccounts(account).addQuotas(quota));
    return out.build();
  }

  private int handle(String id) {
    return handles.computeIfAbsent(
        id,
        i -> {
          int handle = handles.size() + 1;
          ids.put(handle, i);
          return handle;
        });
  }

  private static UpstreamInfo info(int handle, UpstreamSlots upstream) {
    return UpstreamInfo.newBuilder()
        .setHandle(handle)
        .setId(upstream.id())
        .setAddress(upstream.address())
        .setIncarnation(upstream.incarnation())
        .setZone(upstream.zone())
        .build();
  }

  /** Returns the demand of a message. */
  RouterDemand decode(PeerIdentity from, Demand in, long epoch) {
    boolean current = in.getLeaseEpoch() == epoch;
    if (current) {
      acknowledged.put(from.name(), in.getLeaseSequence());
    } else {
      acknowledged.remove(from.name());
      knownHandles.remove(from.name());
    }
    return new RouterDemand(
        from.name(),
        from.incarnation(),
        in.getSequence(),
        in.getLeaseEpoch(),
        in.getLeaseSequence(),
        accounts(in),
        upstreams(from, in, current),
        service(in));
  }

  private static Map<Integer, AccountDemand> accounts(Demand in) {
    Map<Integer, AccountDemand> accounts = new TreeMap<>();
    int count =
        Math.min(in.getAccountsCount(), Math.min(in.getWaitingCount(), in.getInFlightCount()));
    for (int i = 0; i < count; i++) {
      accounts.put(in.getAccounts(i), new AccountDemand(in.getWaiting(i), in.getInFlight(i)));
    }
    return accounts;
  }

  private Map<String, SlotUsage> upstreams(PeerIdentity from, Demand in, boolean current) {
    Map<String, SlotUsage> usage = new HashMap<>();
    for (HeldUpstream held : in.getHeldList()) {
      usage.put(held.getId(), new SlotUsage(held.getInFlight(), held.getIdle()));
    }
    if (!current) {
      return usage;
    }
    Set<Integer> known = knownHandles.computeIfAbsent(from.name(), r -> new HashSet<>());
    int count = Math.min(in.getUpstreamInFlightCount(), in.getUpstreamIdleCount());
    for (int i = 0; i < Math.min(count, in.getUpstreamHandlesCount()); i++) {
      int handle = in.getUpstreamHandles(i);
      known.add(handle);
      SlotUsage slots = new SlotUsage(in.getUpstreamInFlight(i), in.getUpstreamIdle(i));
      Optional.ofNullable(ids.get(handle)).ifPresent(id -> usage.put(id, slots));
    }
    return usage;
  }

  private static Map<Integer, Long> service(Demand in) {
    Map<Integer, Long> service = new TreeMap<>();
    int count = Math.min(in.getServiceAccountsCount(), in.getServiceTokensCount());
    for (int i = 0; i < count; i++) {
      service.put(in.getServiceAccounts(i), in.getServiceTokens(i));
    }
    return service;
  }
}
