package org.toucansaddle.standins.fleet;

import java.util.List;

/**
 * Composition and settings of a fleet. The {@code with} methods return modified copies. Immutable.
 *
 * @param routers number of routers
 * @param replicas number of control replicas; they run on the first routers
 * @param upstreams groups of stand-in upstreams
 * @param sharingMode {@code fleet} or {@code local}
 * @param maxQueuedPerAccount maximum number of queued requests per account and router
 * @param logLevel log level of the routers
 * @param heapMegabytes maximum heap size of each router, in MB
 * @param compilerLevel highest level of tiered compilation in all processes; 1 compiles fast, 4
 *     optimizes fully
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
   * Upstreams of one kind that share a process.
   *
   * @param kind {@code engine} or {@code service}
   * @param id name of the process; several upstreams are told apart by an appended number
   * @param pool name of the model or service
   * @param count number of upstreams
   * @param slots number of requests that each upstream runs concurrently
   * @param serviceTimeMillis duration of an engine step or of a service call, in milliseconds
   */
  public record UpstreamGroup(
      String kind, String id, String pool, int count, int slots, int serviceTimeMillis) {}

  /**
   * Returns a fleet without upstreams.
   *
   * @param routers number of routers; the largest odd number of them, at most 3, are replicas
   */
  public static FleetSpec of(int routers) {
    return new FleetSpec(
        routers, Math.min(3, routers - 1 + routers % 2), List.of(), "fleet", 4_096, "info", 96, 1);
  }

  /** Returns a copy with these upstreams. */
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

  /** Returns a copy with this sharing mode. */
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

  /** Returns a copy with this maximum of queued requests per account and router. */
  public FleetSpec withMaxQueuedPerAccount(int queued) {
    return new FleetSpec(
        routers, replicas, upstreams, sharingMode, queued, logLevel, heapMegabytes, compilerLevel);
  }

  /** Returns a copy with this log level. */
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

  /** Returns a copy with this compiler level. */
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
