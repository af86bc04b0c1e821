package org.toucansaddle.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Selects a random ready router, as the load balancer of the platform does.
 *
 * <p>If no router is ready, all of them are candidates. Thread-safe.
 */
public final class Balancer implements AutoCloseable {

  private static final int POLL_INTERVAL_MILLIS = 150;

  private final List<String> routers;
  private final Predicate<String> readinessCheck;
  private final ScheduledExecutorService poller = Executors.newSingleThreadScheduledExecutor();
  private volatile List<String> candidates;

  /**
   * Starts polling the readiness of the routers.
   *
   * @param routers addresses of the routers
   * @param readinessCheck whether the router at an address is ready
   */
  public Balancer(List<String> routers, Predicate<String> readinessCheck) {
    this.routers = List.copyOf(routers);
    this.readinessCheck = readinessCheck;
    this.candidates = this.routers;
    poller.scheduleWithFixedDelay(
        this::pollReadiness, 0, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void pollReadiness() {
    List<String> readyRouters = new ArrayList<>();
    for (String router : routers) {
      if (readinessCheck.test(router)) {
        readyRouters.add(router);
      }
    }
    candidates = readyRouters.isEmpty() ? routers : readyRouters;
  }

  /** Returns a router, other than {@code excluded} if there is a choice. */
  public String choose(String excluded) {
    List<String> choices = new ArrayList<>(candidates);
    if (choices.size() > 1) {
      choices.remove(excluded);
    }
    return choices.get(ThreadLocalRandom.current().nextInt(choices.size()));
  }

  @Override
  public void close() {
    poller.shutdownNow();
  }
}
