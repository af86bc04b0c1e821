package org.toucansaddle.daemon.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.toucansaddle.daemon.gateway.GatewaySettings.ControlSettings;
import org.toucansaddle.daemon.internal.gateway.GatewayControl;

/**
 * A control daemon of a gateway: keeps the configuration document and hears upstreams.
 *
 * <pre>{@code
 * ControlGateway control = ControlGateway.start(settings, controlSettings);
 * control.put(content, Duration.ofSeconds(1)).thenAccept(outcome -> ...);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public interface ControlGateway extends AutoCloseable {

  /** What became of a document. */
  enum PutOutcome {
    /** It is in force, or a higher version is. */
    ACCEPTED,
    /** Other content holds its version; send it under a higher one. */
    VERSION_TAKEN,
    /** It may or may not take effect; send it again unchanged. */
    UNKNOWN
  }

  /** Starts a control daemon. */
  static ControlGateway start(GatewaySettings settings, ControlSettings control)
      throws IOException {
    return new GatewayControl(settings, control);
  }

  /**
   * Stores a document.
   *
   * @throws DocumentException if the document must not take effect
   */
  CompletableFuture<PutOutcome> put(byte[] content, Duration timeout) throws DocumentException;

  /** Reads the newest document; nothing is returned if it cannot be told for sure. */
  CompletableFuture<Optional<StoredDocument>> read(Duration timeout);

  /** Takes what an upstream says of itself, and tells all routers at once if that matters. */
  void report(UpstreamReport report);

  /** Notes that an upstream leaves, and tells all routers at once. */
  void deregister(String upstream);

  /**
   * Returns the number of voters that hold all that is committed and answer; 0 if this daemon does
   * not lead. Less than half of them may lose their disks at once.
   */
  int inSyncVoters();

  /** Uses other seeds from now on. */
  void useSeeds(List<String> seeds);

  /** Returns the metrics in the Prometheus text format. */
  String metrics();

  @Override
  void close();
}
