package org.toucansaddle.daemon.gateway;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Settings of one daemon of a gateway. Immutable.
 *
 * @param name name of the daemon
 * @param zone its availability zone
 * @param peerAddress host and port where it takes messages of other daemons
 * @param fleetSecret secret that all daemons of the gateway share
 * @param seeds addresses of some control daemons, for messages; they may lag
 * @param headers header fields
 * @param format format of configuration documents
 */
public record GatewaySettings(
    String name,
    String zone,
    String peerAddress,
    String fleetSecret,
    List<String> seeds,
    HeaderNames headers,
    DocumentFormat format) {

  /** Copies the seeds. */
  public GatewaySettings {
    seeds = List.copyOf(seeds);
  }

  /** Returns these settings with other seeds. */
  public GatewaySettings withSeeds(List<String> other) {
    return new GatewaySettings(name, zone, peerAddress, fleetSecret, other, headers, format);
  }

  /**
   * Settings of a router. Immutable.
   *
   * @param callerAddress host and port for callers
   * @param readinessAddress host and port of the readiness check, if it has its own
   * @param readinessPath path of the readiness check
   * @param metricsAddress host and port where metrics are served, if they are
   * @param ioThreads threads for callers and upstreams
   * @param silenceMillis time without a report after which an upstream is passed over
   * @param retryRatio repeated requests allowed for each request, over the whole fleet
   * @param retrySlack repeated requests allowed on top, over the whole fleet and window
   * @param retryWindowMillis window of the retry budget, in milliseconds
   * @param graceMillis time to finish requests after a signal to stop, in milliseconds
   */
  public record RouterSettings(
      String callerAddress,
      Optional<String> readinessAddress,
      String readinessPath,
      Optional<String> metricsAddress,
      int ioThreads,
      int reportTimeoutMillis,
      double retryRatio,
      int retrySlack,
      int retryWindowMillis,
      int graceMillis) {}

  /**
   * Settings of a control daemon. Immutable.
   *
   * @param dataFolder folder of its replica
   * @param firstStart whether the whole gateway starts for the first time
   * @param voters number of voters to reach; bears the loss of fewer than half of them
   */
  public record ControlSettings(Path dataFolder, boolean firstStart, int voters) {}
}
