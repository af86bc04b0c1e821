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
 * Embeds the coordination library: two print desks share one printer hall fairly by department.
 *
 * <p>Each desk keeps a {@link PoolScheduler}; one {@link PoolDispatcher} leases the printers. What
 * the desks and the dispatcher say to each other is passed here by method calls; a program of
 * several processes sends it over its own network. Not thread-safe.
 */
final class PrinterHall {

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
  private final Map<Integer, Long> printed = new TreeMap<>();
  private final Map<String, Map<Integer, Long>> printedAtDesk = new HashMap<>();
  private long sequence;
  private long now;

  PrinterHall(int printers, Set<String> deskNames) {
    dispatcher = PoolDispatcher.create(SharingSettings.defaults(), 1, now);
    dispatcher.setLiveRouters(deskNames, now);
    for (String desk : deskNames) {
      desks.put(desk, PoolScheduler.create(SharingMode.FLEET));
      printedAtDesk.put(desk, new TreeMap<>());
    }
    dispatcher.updateUpstream(
        new UpstreamSlots("hall", 1, "127.0.0.1:9100", "ground-floor", printers, false), now);
  }

  /** Hands a job in at a desk. */
  void handIn(String desk, Job job) {
    desks.get(desk).enqueue(job);
  }

  /** Lets 100 ms pass, in which each printer prints one page of one job. */
  void step() {
    now += 100;
    dispatcher.updateUpstream(
        new UpstreamSlots("hall", 1, "127.0.0.1:9100", "ground-floor", 4, false), now);
    desks.forEach((name, desk) -> dispatcher.updateDemand(demand(name, desk), now));
    for (Lease lease : dispatcher.poll(now)) {
      desks.get(lease.router()).applyLease(lease, now);
    }
    desks.forEach(this::print);
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
        printedAtDesk.get(name));
  }

  private void print(String name, PoolScheduler<Job> desk) {
    List<SlotAssignment<Job>> started = desk.assign(now);
    for (SlotAssignment<Job> assignment : started) {
      int account = assignment.request().account();
      desk.addService(account, 1);
      printed.merge(account, 1L, Long::sum);
      printedAtDesk.get(name).merge(account, 1L, Long::sum);
      desk.releaseSlot(assignment.request());
    }
  }

  /** Returns the pages printed for a department. */
  long printed(int account) {
    return printed.getOrDefault(account, 0L);
  }
}
