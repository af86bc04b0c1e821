package org.toucansaddle.coordination.example;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.toucansaddle.coordination.sharing.AccountDemand;
import org.toucansaddle.coordination.sharing.Lease;
import org.toucansaddle.coordination.sharing.PoolDispatcher;
import org.toucansaddle.coordination.sharing.PoolScheduler;
import org.toucansaddle.coordination.sharing.RouterDemand;
import org.toucansaddle.coordination.sharing.SharingMode;
import org.toucansaddle.coordination.sharing.SharingSettings;
import org.toucansaddle.coordination.sharing.SlotAssignment;
import org.toucansaddle.coordination.sharing.SlotRequest;
import org.toucansaddle.coordination.sharing.UpstreamSlots;

/**
 * Example of a program that embeds the coordination library: two desks of a print shop share its
 * printers fairly between departments.
 *
 * <p>Each desk has a {@link PoolScheduler}; one {@link PoolDispatcher} leases the printers to the
 * desks. Here they exchange demands and leases by method calls; a distributed program sends them
 * over its own network. Not thread-safe.
 */
final class PrintShop {

  /** A print job. */
  record Job(int account, String name) implements SlotRequest {
    @Override
    public long deadlineMillis() {
      return Long.MAX_VALUE;
    }

    @Override
    public boolean isPreemptible() {
      return false;
    }

    @Override
    public boolean canRunOn(UpstreamSlots upstream) {
      return true;
    }
  }

  private final PoolDispatcher dispatcher;
  private final Map<String, PoolScheduler<Job>> desks = new TreeMap<>();
  private final Map<Integer, Long> pagesByAccount = new TreeMap<>();
  private final Map<String, Map<Integer, Long>> pagesByDeskAndAccount = new HashMap<>();
  private long sequence;
  private long nowMillis;

  PrintShop(int printers, Set<String> deskNames) {
    dispatcher = PoolDispatcher.create(SharingSettings.defaults(), 1, nowMillis);
    dispatcher.setLiveRouters(deskNames, nowMillis);
    for (String desk : deskNames) {
      desks.put(desk, PoolScheduler.create(SharingMode.FLEET));
      pagesByDeskAndAccount.put(desk, new TreeMap<>());
    }
    dispatcher.updateUpstream(
        new UpstreamSlots("printers", 1, "127.0.0.1:9100", "ground-floor", printers, false),
        nowMillis);
  }

  /** Enqueues a job at a desk. */
  void submit(String desk, Job job) {
    desks.get(desk).enqueue(job);
  }

  /** Advances the clock by 100 ms, in which each printer prints one page of one job. */
  void step() {
    nowMillis += 100;
    dispatcher.updateUpstream(
        new UpstreamSlots("printers", 1, "127.0.0.1:9100", "ground-floor", 4, false), nowMillis);
    desks.forEach((name, desk) -> dispatcher.updateDemand(demand(name, desk), nowMillis));
    for (Lease lease : dispatcher.poll(nowMillis)) {
      desks.get(lease.router()).applyLease(lease, nowMillis);
    }
    desks.forEach(this::printAssignedJobs);
  }

  private RouterDemand demand(String name, PoolScheduler<Job> desk) {
    Map<Integer, AccountDemand> accounts = desk.accounts();
    return new RouterDemand(
        name,
        1,
        ++sequence,
        desk.leaseEpoch(),
        desk.leaseSequence(),
        accounts,
        desk.upstreams(),
        pagesByDeskAndAccount.get(name));
  }

  private void printAssignedJobs(String name, PoolScheduler<Job> desk) {
    List<SlotAssignment<Job>> assignments = desk.assign(nowMillis);
    for (SlotAssignment<Job> assignment : assignments) {
      int account = assignment.request().account();
      desk.addService(account, 1);
      pagesByAccount.merge(account, 1L, Long::sum);
      pagesByDeskAndAccount.get(name).merge(account, 1L, Long::sum);
      desk.releaseSlot(assignment.request());
    }
  }

  /** Returns the number of pages printed for a department. */
  long pagesPrinted(int account) {
    return pagesByAccount.getOrDefault(account, 0L);
  }
}
