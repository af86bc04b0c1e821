package org.toucansaddle.standins.fleet;

import java.util.List;

/**
 * What a fleet on loopback consists of; change one part with a {@code with} method. Immutable.
 *
 * @param routers number of daemons
 * @param replicas number of control replicas among them
 * @param upstreams groups of stand-in upstreams
 * @param sharingMode {@code fleet} or {@code local}
 * @param maxQueued most waiting requests of an account at a router
 * @param logLevel level of the daemons' logs
 * @param heapMegabytes heap of each daemon
 * @param compilerLevel highest level of the Java compiler; 1 compiles fast, 4 optimizes
 */
public record FleetSpec(
    int routers,
    int replicas,
    List<UpstreamGroup> upstreams,
    String sharingMode,
    int maxQueuedPerAccount,
    String logLevel,
    int heapMegabytes,
    int compilerLevel) {

  /**
   * Upstreams of one kind that run in one process.
   *
   * @param kind {@code engine} or {@code service}
   * @param id name; numbered if there are several
   * @param pool name of the model or service
   * @param count number of upstreams
   * @param slots requests at a time
   * @param millis time of a step or call, in milliseconds
   */
  public record UpstreamGroup(
      String kind, String id, String pool, int count, int slots, int serviceTimeMillis) {}

  /** Returns a fleet of daemons without upstreams. */
  public static FleetSpec of(int routers) {
    return new FleetSpec(
        routers, Math.min(3, routers - 1 + routers % 2), List.of(), "fleet", 4_096, "info", 96, 1);
  }

  /** Returns this fleet with other upstreams. */
  public FleetSpec withUpstreams(List<UpstreamGroup> groups) {
    return new FleetSpec(
        routers,
        replicas,
        List.copyOf(groups),
        sharingMode,
        maxQueuedPerAccount,
        logLevel,
        heapMegabytes,
        compilerLevel);
  }

  /** Returns this fleet with another sharing mode. */
  public FleetSpec withSharingMode(String mode) {
    return new FleetSpec(
        routers,
        replicas,
        upstreams,
        mode,
        maxQueuedPerAccount,
        logLevel,
        heapMegabytes,
        compilerLevel);
  }

  /** Returns this fleet with another bound on waiting requests. */
  public FleetSpec withMaxQueuedPerAccount(int queued) {
    return new FleetSpec(
        routers, replicas, upstreams, sharingMode, queued, logLevel, heapMegabytes, compilerLevel);
  }

  /** Returns this fleet with another log level. */
  public FleetSpec withLogLevel(String level) {
    return new FleetSpec(
        routers,
        replicas,
        upstreams,
        sharingMode,
        maxQueuedPerAccount,
        level,
        heapMegabytes,
        compilerLevel);
  }

  /** Returns this fleet with another level of the Java compiler. */
  public FleetSpec withCompilerLevel(int level) {
    return new FleetSpec(
        routers,
        replicas,
        upstreams,
        sharingMode,
        maxQueuedPerAccount,
        logLevel,
        heapMegabytes,
        level);
  }
}
