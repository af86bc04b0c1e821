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
 * Eight routers and thirteen engines under an uneven load: three large accounts, the largest
 * flooding one router, and thirteen small ones spread over the others.
 *
 * <p>Stateless and thread-safe.
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
   * What a run left behind. Immutable.
   *
   * @param accounts names of the accounts, largest first
   * @param journal what the engines ran
   * @param requests what the callers saw
   * @param from start of the load, in milliseconds since the epoch
   * @param to end of the measured time
   */
  record Trace(
      List<String> accounts,
      List<JournalEntry> journal,
      List<RequestRecord> requests,
      long from,
      long to) {}

  /** Called while the load runs, to measure the processes. */
  interface Observer {
    /** Called when the fleet is at rest, before the load. */
    void atRest(Fleet fleet);

    /** Called at the end of the measured time, while the load runs. */
    void underLoad(Fleet fleet);
  }

  static FleetSpec spec(String mode) {
    return FleetSpec.of(ROUTERS)
        .withSharingMode(mode)
        .withUpstreams(
            List.of(
                new UpstreamGroup("engine", "engine-a", POOL, 7, SLOTS, STEP_MILLIS),
                new UpstreamGroup("engine", "engine-b", POOL, 6, SLOTS, STEP_MILLIS)));
  }

  static List<String> accounts() {
    List<String> accounts = new ArrayList<>();
    for (int i = 1; i <= ACCOUNTS; i++) {
      accounts.add(String.format("account-%02d", i));
    }
    return accounts;
  }

  /** All accounts always have requests waiting. */
  static List<AccountLoad> allBacklogged(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<String> accounts = accounts();
    List<AccountLoad> loads = new ArrayList<>();
    loads.add(new AccountLoad(accounts.get(0), List.of(0), 220));
    loads.add(new AccountLoad(accounts.get(1), List.of(1, 2), 90));
    loads.add(new AccountLoad(accounts.get(2), List.of(2, 3, 4), 90));
    for (int i = 3; i < ACCOUNTS; i++) {
      int first = 1 + random.nextInt(ROUTERS - 1);
      int second = 1 + random.nextInt(ROUTERS - 1);
      loads.add(new AccountLoad(accounts.get(i), List.of(first, second), 32));
    }
    return loads;
  }

  /** Work always waits at the flooded router, and little comes to the others. */
  static List<AccountLoad> uneven(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<String> accounts = accounts();
    List<AccountLoad> loads = new ArrayList<>();
    loads.add(new AccountLoad(accounts.get(0), List.of(0), 230));
    for (int i = 1; i < ACCOUNTS; i++) {
      int router = 1 + random.nextInt(ROUTERS - 1);
      loads.add(new AccountLoad(accounts.get(i), List.of(router), i < 3 ? 8 : 2));
    }
    return loads;
  }

  static Trace run(
      Path folder, FleetSpec spec, List<AccountLoad> loads, ExperimentRun run, Observer observer) {
    try (Fleet fleet = Fleet.start(folder, spec)) {
      fleet.awaitReady();
      fleet.createModelClass(WORK_CLASS, POOL, "120s", "120s");
      accounts().forEach(fleet::createAccount);
      observer.atRest(fleet);
      List<String> callers = fleet.routers().stream().map(RouterAddresses::callerAddress).toList();
      try (ClosedLoopLoad load =
          new ClosedLoopLoad(callers, fleet.accountKeys(), WORK_CLASS, MEAN_TOKENS, run.seed())) {
        warmUp(load);
        long from = System.currentTimeMillis();
        load.begin(loads);
        sleep(run.seconds() * 1_000L);
        long to = System.currentTimeMillis();
        observer.underLoad(fleet);
        load.stop();
        List<RequestRecord> records = load.records();
        fleet.close();
        List<JournalEntry> journal = JournalReader.read(fleet.journalFolder());
        return new Trace(accounts(), journal, records, from, to);
      }
    }
  }

  /** Sends a little through every router first, since a fleet in use is not cold. */
  private static void warmUp(ClosedLoopLoad load) {
    List<AccountLoad> light = new ArrayList<>();
    for (int i = 0; i < ACCOUNTS; i++) {
      light.add(new AccountLoad(accounts().get(i), List.of(i % ROUTERS), 3));
    }
    load.begin(light);
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

  /** Observes nothing. */
  static Observer nothing() {
    return new Observer() {
      @Override
      public void atRest(Fleet fleet) {
        // Nothing is measured.
      }

      @Override
      public void underLoad(Fleet fleet) {
        // Nothing is measured.
      }
    };
  }
}
