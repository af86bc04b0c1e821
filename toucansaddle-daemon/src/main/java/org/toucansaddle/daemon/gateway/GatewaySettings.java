package org.toucansaddle.daemon.gateway;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.toucansaddle.coordination.zones.ZoneRegions;

/**
 * Settings of one daemon of a gateway. Immutable.
 *
 * @param name name of the daemon
 * @param zone availability zone of the daemon
 * @param peerAddress host and port where it accepts connections of other daemons
 * @param fleetSecret secret shared by all daemons of the gateway
 * @param seeds peer addresses of some control daemons; the list may be out of date
 * @param headers names of the header fields
 * @param format format of configuration documents
 * @param regions region of each availability zone
 */
public record GatewaySettings(
    String name,
    String zone,
    String peerAddress,
    String fleetSecret,
    List<String> seeds,
    HeaderNames headers,
    DocumentFormat format,
    ZoneRegions regions) {

  /** Creates settings of a gateway whose zones belong to no region. */
  public GatewaySettings(
      String name,
      String zone,
      String peerAddress,
      String fleetSecret,
      List<String> seeds,
      HeaderNames headers,
      DocumentFormat format) {
    this(name, zone, peerAddress, fleetSecret, seeds, headers, format, ZoneRegions.none());
  }

  /** Copies the seeds. */
  public GatewaySettings {
    seeds = List.copyOf(seeds);
  }

  /** Returns a copy of these settings with other seeds. */
  public GatewaySettings withSeeds(List<String> other) {
    return new GatewaySettings(
        name, zone, peerAddress, fleetSecret, other, headers, format, regions);
  }

  /** Returns a copy of these settings with other regions. */
  public GatewaySettings withRegions(ZoneRegions other) {
    return new GatewaySettings(name, zone, peerAddress, fleetSecret, seeds, headers, format, other);
  }

  /**
   * Settings of a router. Immutable.
   *
   * @param callerAddress host and port for callers
   * @param readinessAddress host and port of the readiness check if it has its own listener
   * @param readinessPath path of the readiness check
   * @param metricsAddress host and port where metrics are served; empty to disable
   * @param ioThreads number of I/O threads for connections to callers and upstreams
   * @param maxDescriptors number of file descriptors that the process may open
   * @param reportTimeoutMillis time without a report after which an upstream gets no requests, in
   *     milliseconds
   * @param retryRatio retries allowed per request, over the whole fleet
   * @param retrySlack retries allowed in addition, per window over the whole fleet
   * @param retryWindowMillis window of the retry budget, in milliseconds
   * @param graceMillis time to complete requests after a stop signal, in milliseconds
   * @param placement who decides which engine a request goes to
   * @param pacing whether upstreams that have started or recovered get requests at a pace that
   *     follows from how they answer
   * @param operators listener where operators ask where requests would go; empty to disable
   */
  public record RouterSettings(
      String callerAddress,
      Optional<String> readinessAddress,
      String readinessPath,
      Optional<String> metricsAddress,
      int ioThreads,
      int maxDescriptors,
      int reportTimeoutMillis,
      double retryRatio,
      int retrySlack,
      int retryWindowMillis,
      int graceMillis,
      PlacementMode placement,
      boolean pacing,
      Optional<OperatorAccess> operators) {

    /** Creates settings of a router that operators cannot ask. */
    public RouterSettings(
        String callerAddress,
        Optional<String> readinessAddress,
        String readinessPath,
        Optional<String> metricsAddress,
        int ioThreads,
        int maxDescriptors,
        int reportTimeoutMillis,
        double retryRatio,
        int retrySlack,
        int retryWindowMillis,
        int graceMillis,
        PlacementMode placement,
        boolean pacing) {
      this(
          callerAddress,
          readinessAddress,
          readinessPath,
          metricsAddress,
          ioThreads,
          maxDescriptors,
          reportTimeoutMillis,
          retryRatio,
          retrySlack,
          retryWindowMillis,
          graceMillis,
          placement,
          pacing,
          Optional.empty());
    }

    /** Returns a copy of these settings with a listener for operators. */
    public RouterSettings withOperators(OperatorAccess access) {
      return new RouterSettings(
          callerAddress,
          readinessAddress,
          readinessPath,
          metricsAddress,
          ioThreads,
          maxDescriptors,
          reportTimeoutMillis,
          retryRatio,
          retrySlack,
          retryWindowMillis,
          graceMillis,
          placement,
          pacing,
          Optional.of(access));
    }
  }

  /**
   * Listener of a daemon for operators. Immutable.
   *
   * @param address host and port
   * @param tokenDigest SHA-256 digest of the operators' token, in hexadecimal
   */
  public record OperatorAccess(String address, String tokenDigest) {}

  /**
   * Settings of a control daemon. Immutable.
   *
   * @param dataFolder folder that holds the replica's data
   * @param firstStart whether the gateway as a whole starts for the first time
   * @param voters target number of voters; the loss of fewer than half of them is tolerated
   */
  public record ControlSettings(Path dataFolder, boolean firstStart, int voters) {}
}
