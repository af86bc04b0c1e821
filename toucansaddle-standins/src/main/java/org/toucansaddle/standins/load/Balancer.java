package org.toucansaddle.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Chooses among the routers that are ready, as the platform's balancer does. Thread-safe. */
public final class Balancer implements AutoCloseable {

  private static final int POLL_MILLIS = 150;

  private final List<String> routers;
  private final Predicate<String> ready;
  private final ScheduledExecutorService poller = Executors.newSingleThreadScheduledExecutor();
  private volatile List<String> usable;

  /** Starts asking the routers whether they are ready. */
  public Balancer(List<String> routers, Predicate<String> ready) {
    this.routers = List.copyOf(routers);
    this.ready = ready;
    this.usable = this.routers;
    poller.scheduleWithFixedDelay(this::poll, 0, POLL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void poll() {
    List<String> found = new ArrayList<>();
    for (String router : routers) {
      if (ready.test(router)) {
        found.add(router);
      }
    }
    usable = found.isEmpty() ? routers : found;
  }

  /** Returns a router, another one than {@code except} if there is one. */
  public String choose(String except) {
    List<String> now = new ArrayList<>(usable);
    if (now.size() > 1) {
      now.remove(except);
    }
    return now.get(ThreadLocalRandom.current().nextInt(now.size()));
  }

  @Override
  public void close() {
    poller.shutdownNow();
  }
}
