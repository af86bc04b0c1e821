package org.toucansaddle.daemon.internal.gateway.routing;

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
 * Follows all control daemons that are known, from seeds and from one another.
 *
 * <p>All tell of upstreams; one of this router's zone sends documents at once, and the one with the
 * lowest address sums up what routers do, so that little crosses between zones twice.
 *
 * <p>Thread-safe; {@link #step} is called by one thread a few times a second.
 */
public final class ControlFollower implements AutoCloseable {

  private final String self;
  private final String zone;
  private final RouterState state;
  private final PeerClients clients;
  private final Supplier<List<String>> seeds;
  private final LongSupplier clock;
  private final Map<String, FollowClient> links = new ConcurrentHashMap<>();
  private final Map<String, String> zones = new ConcurrentHashMap<>();
  private final Map<String, Set<String>> toldBy = new ConcurrentHashMap<>();

  /** Creates a follower without streams; {@code clock} gives nanoseconds. */
  public ControlFollower(
      String self,
      String zone,
      RouterState state,
      PeerClients clients,
      Supplier<List<String>> seeds,
      LongSupplier clock) {
    this.self = self;
    this.zone = zone;
    this.state = state;
    this.clients = clients;
    this.seeds = seeds;
    this.clock = clock;
  }

  /** Returns the addresses of the control daemons that are known. */
  public List<String> addresses() {
    Set<String> all = new TreeSet<>(seeds.get());
    toldBy.values().forEach(all::addAll);
    return List.copyOf(all);
  }

  /** Keeps one stream to each control daemon and reports on them. */
  public void step() {
    FollowerReport.Builder whole = state.createReport();
    FollowerReport.Builder sign = whole.clone().clearWork().clearAccounts();
    String primary = primary();
    String near = near(primary);
    List<String> wanted = addresses();
    for (String address : wanted) {
      boolean first = address.equals(primary);
      FollowerReport.Builder report = (first ? whole : sign).clone();
      report.setWantsSums(first).setWantsDocument(near.isEmpty() || address.equals(near));
      links.computeIfAbsent(address, this::open).step(report);
    }
    for (String address : links.keySet()) {
      if (!wanted.contains(address)) {
        links.remove(address).close();
        toldBy.remove(address);
        zones.remove(address);
      }
    }
  }

  /** Returns the live daemon of this router's zone with the lowest address. */
  private String near(String otherwise) {
    return zones.entrySet().stream()
        .filter(entry -> entry.getValue().equals(zone) && isLive(entry.getKey()))
        .map(Map.Entry::getKey)
        .min(String::compareTo)
        .orElse(otherwise);
  }

  private boolean isLive(String address) {
    FollowClient link = links.get(address);
    return link != null && link.isLive();
  }

  private FollowClient open(String address) {
    return new FollowClient(self, address, state, clients, clock, update -> told(address, update));
  }

  private void told(String source, FleetUpdate update) {
    if (update.getControlAddressesCount() > 0) {
      toldBy.put(source, Set.copyOf(update.getControlAddressesList()));
    }
    if (!update.getZone().isEmpty()) {
      zones.put(source, update.getZone());
    }
    if (update.getSums()) {
      state.updateRemoteWork(update.getWorkList());
      state.shares().updateRemoteUsage(update.getAccountsList());
    }
  }

  /** One daemon's word on the others' work is enough, and all routers choose alike. */
  private String primary() {
    return links.entrySet().stream()
        .filter(entry -> entry.getValue().isLive())
        .map(Map.Entry::getKey)
        .sorted()
        .findFirst()
        .orElse("");
  }

  @Override
  public void close() {
    links.values().forEach(FollowClient::close);
  }
}
