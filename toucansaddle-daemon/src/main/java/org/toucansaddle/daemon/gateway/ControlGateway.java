package org.toucansaddle.daemon.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.toucansaddle.coordination.zones.ZoneOrder;
import org.toucansaddle.coordination.zones.ZoneOrders;
import org.toucansaddle.daemon.gateway.GatewaySettings.ControlSettings;
import org.toucansaddle.daemon.internal.gateway.GatewayControl;

/**
 * Control daemon of a gateway: stores the configuration document, receives the reports of upstreams
 * and distributes both to the routers.
 *
 * <pre>{@code
 * ControlGateway control = ControlGateway.start(settings, controlSettings);
 * control.put(content, Duration.ofSeconds(1)).thenAccept(outcome -> ...);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public interface ControlGateway extends AutoCloseable {

  /** Outcome of storing a document. */
  enum PutOutcome {
    /** The document or a higher version is in force. */
    ACCEPTED,
    /** The version is in use with other content; send the document with a higher version. */
    VERSION_TAKEN,
    /** The document may or may not take effect; send it again unchanged. */
    UNKNOWN
  }

  /**
   * Starts a control daemon.
   *
   * @throws IOException if its storage cannot be opened or its address cannot be bound
   */
  static ControlGateway start(GatewaySettings settings, ControlSettings control)
      throws IOException {
    return new GatewayControl(settings, control);
  }

  /**
   * Stores a document; the outcome is {@link PutOutcome#UNKNOWN} if no quorum acknowledged it
   * within the timeout.
   *
   * @throws DocumentException if the document is invalid
   */
  CompletableFuture<PutOutcome> put(byte[] content, Duration timeout) throws DocumentException;

  /** Reads the latest document; empty if no quorum confirmed it within the timeout. */
  CompletableFuture<Optional<StoredDocument>> read(Duration timeout);

  /**
   * Takes an availability zone out of service or back. The order is on the disks of a quorum before
   * the result is there; one that changes nothing succeeds, too.
   *
   * @return the zones out of service after the order, which do not include its zone if too many are
   *     out of service already ({@link ZoneOrders#includes}); empty if no quorum acknowledged the
   *     order within the timeout, so that it may or may not take effect
   */
  CompletableFuture<Optional<ZoneOrders>> order(ZoneOrder order, Duration timeout);

  /** Reads the zones out of service; empty if no quorum confirmed them within the timeout. */
  CompletableFuture<Optional<ZoneOrders>> zones(Duration timeout);

  /** Processes the report of an upstream; relevant changes are sent to all routers at once. */
  void report(UpstreamReport report);

  /** Marks an upstream as gone and notifies all routers at once. */
  void deregister(String upstreamId);

  /**
   * Returns the number of voters that respond and hold all committed entries; 0 if this daemon is
   * not the leader. The loss of the disks of fewer than half of them is tolerated.
   */
  int inSyncVoters();

  /** Replaces the seeds. */
  void useSeeds(List<String> seeds);

  /** Returns the metrics in the Prometheus text format. */
  String metrics();

  @Override
  void close();
}
