package org.toucansaddle.standins.experiment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.toucansaddle.standins.fleet.Fleet;
import org.toucansaddle.standins.fleet.FleetSpec;
import org.toucansaddle.standins.fleet.FleetSpec.UpstreamGroup;
import org.toucansaddle.standins.fleet.RouterAddresses;
import org.toucansaddle.standins.journal.JournalEntry;
import org.toucansaddle.standins.journal.JournalReader;
import org.toucansaddle.standins.load.AccountLoad;
import org.toucansaddle.standins.load.ClosedLoopLoad;
import org.toucansaddle.standins.load.RequestRecord;

/**
 * Fleet of 8 routers and 13 engines under an uneven load of 16 accounts.
 *
 * <p>There are three large accounts, the largest of which floods one router, and 13 small accounts
 * that use the other routers. Stateless and thread-safe.
 */
final class SharingScenario {

  static final int ROUTERS = 8;
  static final int ENGINES = 13;
  static final int SLOTS = 16;
  static final int STEP_MILLIS = 10;
  static final int MEAN_TOKENS = 100;
  static final int MAX_TOKENS = 800;
  static final int ACCOUNTS = 16;

  private static final long WARM_UP_MILLIS = 2_000;
  private static final String POOL = "inspection-model";
  private static final String WORK_CLASS = "finding-summary";

  private SharingScenario() {}

  /**
   * Recorded events of a run. Immutable.
   *
   * @param accounts names of the accounts, largest first
   * @param journal events that the engines recorded
   * @param requests requests as observed by their callers
   * @param fromMillis start of the measured period, in milliseconds since the epoch
   * @param toMillis end of the measured period, in milliseconds since the epoch
   */
  record Trace(
      List<String> accounts,
      List<JournalEntry> journal,
      List<RequestRecord> requests,
      long fromMillis,
      long toMillis) {}

  /** Measures the processes of a fleet at defined points of a run. */
  interface Observer {
    /** Called when the fleet is ready and idle, before the load. */
    void beforeLoad(Fleet fleet);

    /** Called at the end of the measured period, while the load still runs. */
    void underLoad(Fleet fleet);
  }

  static FleetSpec fleetSpec(String mode) {
    return FleetSpec.of(ROUTERS)
        .withSharingMode(mode)
        .withUpstreams(
            List.of(
                new UpstreamGroup("engine", "engine-a", POOL, 7, SLOTS, STEP_MILLIS),
                new UpstreamGroup("engine", "engine-b", POOL, 6, SLOTS, STEP_MILLIS)));
  }

  static List<String> accountNames() {
    List<String> accounts = new ArrayList<>();
    for (int i = 1; i <= ACCOUNTS; i++) {
      accounts.add(String.format("account-%02d", i));
    }
    return accounts;
  }

  /** Returns loads that keep every account backlogged. */
  static List<AccountLoad> backloggedLoads(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<String> accounts = accountNames();
    List<AccountLoad> loads = new ArrayList<>();
    loads.add(new AccountLoad(accounts.get(0), List.of(0), 220));
    loads.add(new AccountLoad(accounts.get(1), List.of(1, 2), 90));
    loads.add(new AccountLoad(accounts.get(2), List.of(2, 3, 4), 90));
    for (int i = 3; i < ACCOUNTS; i++) {
      int firstRouter = 1 + random.nextInt(ROUTERS - 1);
      int secondRouter = 1 + random.nextInt(ROUTERS - 1);
      loads.add(new AccountLoad(accounts.get(i), List.of(firstRouter, secondRouter), 32));
    }
    return loads;
  }

  /** Returns loads that keep work waiting at one router while the others receive little. */
  static List<AccountLoad> unevenLoads(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<String> accounts = accountNames();
    List<AccountLoad> loads = new ArrayList<>();
    loads.add(new AccountLoad(accounts.get(0), List.of(0), 230));
    for (int i = 1; i < ACCOUNTS; i++) {
      int routerIndex = 1 + random.nextInt(ROUTERS - 1);
      loads.add(new AccountLoad(accounts.get(i), List.of(routerIndex), i < 3 ? 8 : 2));
    }
    return loads;
  }

  /**
   * Starts a fleet, applies the loads for the period of the run and stops the fleet.
   *
   * @param folder folder of the fleet
   */
  static Trace run(
      Path folder, FleetSpec spec, List<AccountLoad> loads, ExperimentRun run, Observer observer) {
    try (Fleet fleet = Fleet.start(folder, spec)) {
      fleet.awaitReady();
      fleet.createModelClass(WORK_CLASS, POOL, "120s", "120s");
      accountNames().forEach(fleet::createAccount);
      observer.beforeLoad(fleet);
      List<String> callerAddresses =
          fleet.routers().stream().map(RouterAddresses::callerAddress).toList();
      try (ClosedLoopLoad load =
          new ClosedLoopLoad(
              callerAddresses, fleet.accountKeys(), WORK_CLASS, MEAN_TOKENS, run.seed())) {
        warmUp(load);
        long fromMillis = System.currentTimeMillis();
        load.start(loads);
        sleep(run.seconds() * 1_000L);
        long toMillis = System.currentTimeMillis();
        observer.underLoad(fleet);
        load.stop();
        List<RequestRecord> requests = load.records();
        fleet.close();
        List<JournalEntry> journal = JournalReader.read(fleet.journalFolder());
        return new Trace(accountNames(), journal, requests, fromMillis, toMillis);
      }
    }
  }

  /** Sends light load through every router, since a fleet in regular use is not cold. */
  private static void warmUp(ClosedLoopLoad load) {
    List<AccountLoad> warmUpLoads = new ArrayList<>();
    for (int i = 0; i < ACCOUNTS; i++) {
      warmUpLoads.add(new AccountLoad(accountNames().get(i), List.of(i % ROUTERS), 3));
    }
    load.start(warmUpLoads);
    sleep(WARM_UP_MILLIS);
    load.pause();
    sleep(WARM_UP_MILLIS / 2);
    load.resume();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns an observer without measurements. */
  static Observer noOpObserver() {
    return new Observer() {
      @Override
      public void beforeLoad(Fleet fleet) {
        // Nothing is measured.
      }

      @Override
      public void underLoad(Fleet fleet) {
        // Nothing is measured.
      }
    };
  }
}
