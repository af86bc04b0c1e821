package org.toucansaddle.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.IntSupplier;
import org.toucansaddle.standins.journal.Journal;

/**
 * The model that an engine has loaded, and the placement orders that replace it.
 *
 * <p>On an order for another model the engine drains: it announces that it is leaving its pool,
 * waits until its active requests have ended and loads the model. Then it joins the model's pool
 * with a higher incarnation. Orders that arrive during a load are accepted without effect.
 * Thread-safe.
 */
final class LoadedModel {

  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int BAD_REQUEST = 400;

  /** Exceeds the announcement interval of 1 s, so that a router receives the notice first. */
  private static final int DRAIN_NOTICE_MILLIS = 1_500;

  private static final int DRAIN_POLL_MILLIS = 50;

  private final EngineSettings settings;
  private final Journal journal;
  private final IntSupplier activeRequests;
  private String pool;
  private long incarnation = System.currentTimeMillis();
  private long highestFencingToken;
  private boolean loading;

  LoadedModel(EngineSettings settings, Journal journal, IntSupplier activeRequests) {
    this.settings = settings;
    this.journal = journal;
    this.activeRequests = activeRequests;
    this.pool = settings.pool();
  }

  /**
   * Executes or refuses a placement order.
   *
   * @return 200 if the order is accepted, 409 if its fencing token is outdated, 400 if the model
   *     cannot be loaded or the order is for another incarnation
   */
  synchronized int handleOrder(JsonNode order) {
    long fencingToken = order.path("fencing").asLong();
    String model = order.path("model").asText();
    int status = checkOrder(fencingToken, model, order.path("incarnation").asLong());
    journal.append(
        Journal.newEntry("order")
            .put("engine", settings.id())
            .put("model", model)
            .put("fencing", fencingToken)
            .put("status", status));
    if (status == OK) {
      highestFencingToken = Math.max(highestFencingToken, fencingToken);
      if (!loading && !model.equals(pool)) {
        loading = true;
        Thread thread = new Thread(() -> loadModel(model), "load-" + settings.id());
        thread.setDaemon(true);
        thread.start();
      }
    }
    return status;
  }

  private int checkOrder(long fencingToken, String model, long orderedIncarnation) {
    if (settings.checksFencing() && fencingToken < highestFencingToken) {
      return CONFLICT;
    }
    boolean valid = settings.loadableModels().contains(model) && orderedIncarnation == incarnation;
    return valid ? OK : BAD_REQUEST;
  }

  private void loadModel(String model) {
    sleep(DRAIN_NOTICE_MILLIS);
    while (activeRequests.getAsInt() > 0) {
      sleep(DRAIN_POLL_MILLIS);
    }
    sleep(settings.loadMillis());
    synchronized (this) {
      pool = model;
      incarnation = Math.max(incarnation + 1, System.currentTimeMillis());
      loading = false;
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Adds the fields of the announcement that depend on the model and its load. */
  synchronized void fillAnnouncement(ObjectNode announcement, boolean draining) {
    announcement.put("pool", pool);
    announcement.put("incarnation", incarnation);
    announcement.put("leaving", draining || loading);
    announcement.put("checks_fencing", settings.checksFencing());
    settings.loadableModels().forEach(announcement.withArray("loadable")::add);
  }
}
