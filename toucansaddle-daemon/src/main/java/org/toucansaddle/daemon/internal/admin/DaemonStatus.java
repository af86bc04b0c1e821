package org.toucansaddle.daemon.internal.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.toucansaddle.coordination.membership.Member;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.ReplicaStatus;
import org.toucansaddle.daemon.internal.config.ConfigurationHolder;
import org.toucansaddle.daemon.internal.control.ControlReplica;
import org.toucansaddle.daemon.internal.control.FleetDirectory;
import org.toucansaddle.daemon.internal.peer.PeerIdentity;
import org.toucansaddle.daemon.internal.sharing.SharingController;
import org.toucansaddle.protocol.generated.Announcement;
import org.toucansaddle.protocol.generated.UpstreamKind;

/** Describes a daemon for operators. Thread-safe. */
public final class DaemonStatus {

  private final PeerIdentity self;
  private final ConfigurationHolder holder;
  private final FleetDirectory directory;
  private final Optional<ControlReplica> replica;
  private final SharingController sharing;
  private final BooleanSupplier ready;

  /** Creates a description of a daemon's parts. */
  public DaemonStatus(
      PeerIdentity self,
      ConfigurationHolder holder,
      FleetDirectory directory,
      Optional<ControlReplica> replica,
      SharingController sharing,
      BooleanSupplier ready) {
    this.self = self;
    this.holder = holder;
    this.directory = directory;
    this.replica = replica;
    this.sharing = sharing;
    this.ready = ready;
  }

  ObjectNode describe() {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("name", self.name());
    node.put("incarnation", self.incarnation());
    node.put("ready", ready.getAsBoolean());
    node.put("revision", holder.current().revision());
    node.put("confirmed_age_millis", holder.confirmedAgeMillis(System.nanoTime()));
    ArrayNode members = node.putArray("members");
    for (Member member : directory.members()) {
      members
          .addObject()
          .put("name", member.name())
          .put("state", member.state().name().toLowerCase(Locale.ROOT))
          .put("zone", member.zone())
          .put("address", member.address())
          .put("control", member.control());
    }
    replica.ifPresent(r -> node.set("control", describe(r)));
    ObjectNode gaps = node.putObject("service_gap_tokens");
    sharing.serviceGaps().forEach(gaps::put);
    return node;
  }

  private static ObjectNode describe(ControlReplica replica) {
    ReplicaStatus status = replica.status();
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("replica", status.self().toString());
    node.put("role", status.role().name().toLowerCase(Locale.ROOT));
    node.put("term", status.term());
    node.put("leader", status.leader().map(ReplicaId::name).orElse(""));
    node.put("last_index", status.lastIndex());
    node.put("commit_index", status.commitIndex());
    node.put("stopped", replica.isUnavailable());
    node.put("repaired", isRepaired(status));
    ArrayNode voters = node.putArray("voters");
    status.members().voters().forEach(id -> voters.add(id.toString()));
    ArrayNode learners = node.putArray("learners");
    status.members().learners().forEach(id -> learners.add(id.toString()));
    return node;
  }

  /** All replicas vote, hold the whole committed log on their disks, and none is being replaced. */
  private static boolean isRepaired(ReplicaStatus status) {
    if (status.role() != ReplicaStatus.Role.LEADER || !status.membersCommitted()) {
      return false;
    }
    boolean allCaughtUp =
        status.members().voters().stream()
            .filter(id -> !id.equals(status.self()))
            .filter(status.responsive()::contains)
            .allMatch(id -> status.matchIndexes().getOrDefault(id, 0L) >= status.commitIndex());
    boolean allResponsive = status.responsive().size() == status.members().voters().size() - 1;
    return allCaughtUp && allResponsive && status.members().learners().isEmpty();
  }

  ObjectNode upstreams() {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    ArrayNode list = node.putArray("upstreams");
    for (Announcement upstream : sharing.announced()) {
      list.addObject()
          .put("id", upstream.getId())
          .put("kind", upstream.getKind() == UpstreamKind.MODEL ? "model" : "service")
          .put("pool", upstream.getPool())
          .put("zone", upstream.getZone())
          .put("address", upstream.getAddress())
          .put("slots", upstream.getSlots())
          .put("running", upstream.getRunning())
          .put("leaving", upstream.getLeaving())
          .put("checks_fencing", upstream.getChecksFencing());
    }
    return node;
  }
}
