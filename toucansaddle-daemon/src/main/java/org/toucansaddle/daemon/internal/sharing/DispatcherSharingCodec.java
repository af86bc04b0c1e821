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
 * Encodes a dispatcher's leases and decodes the demands of routers, for one pool.
 *
 * <p>Upstreams are encoded as small integer handles. A lease describes the upstream of a handle
 * until the router has confirmed the handle by using it in a demand. It is the counterpart of
 * {@link RouterSharingCodec}. Not thread-safe.
 */
final class DispatcherSharingCodec {

  private final String pool;
  private final Map<String, Integer> handlesById = new HashMap<>();
  private final Map<Integer, String> idsByHandle = new HashMap<>();
  private final Map<String, Set<Integer>> confirmedHandlesByRouter = new HashMap<>();
  private final Map<String, Long> acknowledgedSequences = new HashMap<>();

  DispatcherSharingCodec(String pool) {
    this.pool = pool;
  }

  /**
   * Returns the message for a lease.
   *
   * <p>If the router has acknowledged the lease, the message only renews it.
   */
  SlotLease encode(Lease lease) {
    SlotLease.Builder builder =
        SlotLease.newBuilder()
            .setPool(pool)
            .setEpoch(lease.epoch())
            .setSequence(lease.sequence())
            .setValidMillis(lease.validMillis());
    if (acknowledgedSequences.getOrDefault(lease.router(), -1L) == lease.sequence()) {
      return builder.setRenewal(true).build();
    }
    builder.setWanted(lease.contended());
    Set<Integer> confirmedHandles =
        confirmedHandlesByRouter.computeIfAbsent(lease.router(), name -> new HashSet<>());
    lease
        .slots()
        .forEach(
            (id, slots) -> {
              int handle = assignHandle(id);
              builder.addHandles(handle).addSlots(slots);
              if (!confirmedHandles.contains(handle)) {
                builder.addUpstreams(toUpstreamInfo(handle, lease.upstreams().get(id)));
              }
            });
    lease.quotas().forEach((account, quota) -> builder.addQuotaAccounts(account).addQuotas(quota));
    return builder.build();
  }

  private int assignHandle(String id) {
    return handlesById.computeIfAbsent(
        id,
        newId -> {
          int handle = handlesById.size() + 1;
          idsByHandle.put(handle, newId);
          return handle;
        });
  }

  private static UpstreamInfo toUpstreamInfo(int handle, UpstreamSlots upstream) {
    return UpstreamInfo.newBuilder()
        .setHandle(handle)
        .setId(upstream.id())
        .setAddress(upstream.address())
        .setIncarnation(upstream.incarnation())
        .setZone(upstream.zone())
        .build();
  }

  /**
   * Returns the demand of a message.
   *
   * <p>A demand that refers to another epoch comes from a router that has not applied a lease of
   * this dispatcher yet, so handles in it are ignored and its acknowledgements are reset.
   *
   * @param epoch epoch of this dispatcher's leases
   */
  RouterDemand decode(PeerIdentity router, Demand message, long epoch) {
    boolean isCurrentEpoch = message.getLeaseEpoch() == epoch;
    if (isCurrentEpoch) {
      acknowledgedSequences.put(router.name(), message.getLeaseSequence());
    } else {
      acknowledgedSequences.remove(router.name());
      confirmedHandlesByRouter.remove(router.name());
    }
    return new RouterDemand(
        router.name(),
        router.incarnation(),
        message.getSequence(),
        message.getLeaseEpoch(),
        message.getLeaseSequence(),
        decodeAccounts(message),
        decodeUpstreams(router, message, isCurrentEpoch),
        decodeService(message));
  }

  private static Map<Integer, AccountDemand> decodeAccounts(Demand message) {
    Map<Integer, AccountDemand> accounts = new TreeMap<>();
    int count =
        Math.min(
            message.getAccountsCount(),
            Math.min(message.getWaitingCount(), message.getInFlightCount()));
    for (int i = 0; i < count; i++) {
      accounts.put(
          message.getAccounts(i), new AccountDemand(message.getWaiting(i), message.getInFlight(i)));
    }
    return accounts;
  }

  private Map<String, SlotUsage> decodeUpstreams(
      PeerIdentity router, Demand message, boolean isCurrentEpoch) {
    Map<String, SlotUsage> usage = new HashMap<>();
    for (HeldUpstream held : message.getHeldList()) {
      usage.put(held.getId(), new SlotUsage(held.getInFlight(), held.getIdle()));
    }
    if (!isCurrentEpoch) {
      return usage;
    }
    Set<Integer> confirmedHandles =
        confirmedHandlesByRouter.computeIfAbsent(router.name(), name -> new HashSet<>());
    int count = Math.min(message.getUpstreamInFlightCount(), message.getUpstreamIdleCount());
    for (int i = 0; i < Math.min(count, message.getUpstreamHandlesCount()); i++) {
      int handle = message.getUpstreamHandles(i);
      confirmedHandles.add(handle);
      SlotUsage slots = new SlotUsage(message.getUpstreamInFlight(i), message.getUpstreamIdle(i));
      Optional.ofNullable(idsByHandle.get(handle)).ifPresent(id -> usage.put(id, slots));
    }
    return usage;
  }

  private static Map<Integer, Long> decodeService(Demand message) {
    Map<Integer, Long> service = new TreeMap<>();
    int count = Math.min(message.getServiceAccountsCount(), message.getServiceTokensCount());
    for (int i = 0; i < count; i++) {
      service.put(message.getServiceAccounts(i), message.getServiceTokens(i));
    }
    return service;
  }
}
