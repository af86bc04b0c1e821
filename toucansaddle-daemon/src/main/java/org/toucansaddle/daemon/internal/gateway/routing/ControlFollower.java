package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.toucansaddle.daemon.internal.peer.PeerClients;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.FollowerReport;

/**
 * Follows all known control daemons: the seeds and those that other control daemons list.
 *
 * <p>All of them report upstreams. To limit traffic between availability zones, only one daemon of
 * this router's zone sends documents at once, and only the live daemon with the lowest address
 * aggregates the load of the routers.
 *
 * <p>Thread-safe; {@link #step} and {@link #stepSums} are called by one thread a few times a
 * second.
 */
public final class ControlFollower implements AutoCloseable {

  private final String self;
  private final String zone;
  private final RouterState state;
  private final PeerClients clients;
  private final Supplier<List<String>> seeds;
  private final LongSupplier clock;
  private final boolean observer;
  private final Map<String, FollowClient> followClients = new ConcurrentHashMap<>();
  private final Map<String, String> zones = new ConcurrentHashMap<>();
  private final Map<String, Set<String>> addressesBySource = new ConcurrentHashMap<>();

  /** Daemon that was last asked for sums; used by the thread of the steps only. */
  private String summing = "";

  /**
   * Creates a follower without streams.
   *
   * @param clock returns nanoseconds
   * @param observer whether this daemon only observes and serves no callers
   */
  public ControlFollower(
      String self,
      String zone,
      RouterState state,
      PeerClients clients,
      Supplier<List<String>> seeds,
      LongSupplier clock,
      boolean observer) {
    this.self = self;
    this.zone = zone;
    this.state = state;
    this.clients = clients;
    this.seeds = seeds;
    this.clock = clock;
    this.observer = observer;
  }

  /** Returns the addresses of the known control daemons. */
  public List<String> addresses() {
    Set<String> all = new TreeSet<>(seeds.get());
    addressesBySource.values().forEach(all::addAll);
    return List.copyOf(all);
  }

  /** Returns the number of control daemons that those followed list, or of the seeds. */
  public int fleetSize() {
    Set<String> listed = new HashSet<>();
    addressesBySource.values().forEach(listed::addAll);
    return listed.isEmpty() ? seeds.get().size() : listed.size();
  }

  /** Returns the addresses of the live control daemons, or of all known ones if none is live. */
  public List<String> liveAddresses() {
    List<String> live =
        followClients.entrySet().stream()
            .filter(entry -> entry.getValue().isLive())
            .map(Map.Entry::getKey)
            .toList();
    return live.isEmpty() ? addresses() : live;
  }

  /** Keeps one stream to each control daemon open and sends a report on it. */
  public void step() {
    FollowerReport.Builder fullReport = state.createReport().setZone(zone).setObserver(observer);
    FollowerReport.Builder shortReport =
        fullReport.clone().clearWork().clearAccounts().clearDemands().clearColdAsks();
    String primary = primary();
    summing = primary;
    String documentSource = documentSource(primary);
    List<String> known = addresses();
    for (String address : known) {
      boolean isPrimary = address.equals(primary);
      FollowerReport.Builder report = (isPrimary ? fullReport : shortReport).clone();
      report
          .setWantsSums(isPrimary)
          .setWantsDocument(documentSource.isEmpty() || address.equals(documentSource));
      followClients.computeIfAbsent(address, this::createClient).step(report);
    }
    for (String address : followClients.keySet()) {
      if (!known.contains(address)) {
        followClients.remove(address).close();
        addressesBySource.remove(address);
        zones.remove(address);
      }
    }
  }

  /**
   * Reports to the daemon that sums what routers report, if it is known; to all daemons if it is
   * another one than before, so that only one sends sums.
   */
  public void stepSums() {
    String primary = primary();
    FollowClient client = followClients.get(primary);
    if (!primary.equals(summing)) {
      step();
    } else if (client != null) {
      client.step(
          state
              .createReport()
              .setZone(zone)
              .setObserver(observer)
              .setWantsSums(true)
              .setWantsDocument(primary.equals(documentSource(primary))));
    }
  }

  /** Returns the live daemon with the lowest address in this router's availability zone. */
  private String documentSource(String fallback) {
    return zones.entrySet().stream()
        .filter(entry -> entry.getValue().equals(zone) && isLive(entry.getKey()))
        .map(Map.Entry::getKey)
        .min(String::compareTo)
        .orElse(fallback);
  }

  private boolean isLive(String address) {
    FollowClient client = followClients.get(address);
    return client != null && client.isLive();
  }

  private FollowClient createClient(String address) {
    return new FollowClient(
        self, address, state, clients, clock, update -> receive(address, update));
  }

  private void receive(String source, FleetUpdate update) {
    if (update.getControlAddressesCount() > 0) {
      addressesBySource.put(source, Set.copyOf(update.getControlAddressesList()));
    }
    if (!update.getZone().isEmpty()) {
      zones.put(source, update.getZone());
    }
    if (update.getSums()) {
      state.updateRemoteWork(update.getWorkList());
      state.shares().updateRemoteUsage(update);
      state.updateLimitParts(update.getPartsList());
    }
  }

  /** Returns the live daemon with the lowest address, so that all routers select the same one. */
  public String primary() {
    return followClients.entrySet().stream()
        .filter(entry -> entry.getValue().isLive())
        .map(Map.Entry::getKey)
        .sorted()
        .findFirst()
        .orElse("");
  }

  @Override
  public void close() {
    followClients.values().forEach(FollowClient::close);
  }
}
