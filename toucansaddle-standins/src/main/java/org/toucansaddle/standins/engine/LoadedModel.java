package org.toucansaddle.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.IntSupplier;
import org.toucansaddle.standins.journal.Journal;

/**
 * The model that an engine holds, and the orders that change it.
 *
 * <p>After an order the engine leaves its pool, ends what it runs, loads, and announces itself anew
 * with a higher incarnation. Thread-safe.
 */
final class LoadedModel {

  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int BAD_REQUEST = 400;
  private static final int DRAIN_NOTICE_MILLIS = 1_500;
  private static final int DRAIN_POLL_MILLIS = 50;

  private final EngineSettings settings;
  private final Journal journal;
  private final IntSupplier activeRequests;
  private String pool;
  private long incarnation = System.currentTimeMillis();
  private long highestFencingToken;
  private boolean loading;

  LoadedModel(EngineSettings settings, Journal journal, IntSupplier load) {
    this.settings = settings;
    this.journal = journal;
    this.activeRequests = load;
    this.pool = settings.pool();
  }

  /** Follows an order, or refuses it; returns the HTTP status. */
  synchronized int handleOrder(JsonNode order) {
    long fencing = order.path("fencing").asLong();
    String model = order.path("model").asText();
    int status = checkOrder(fencing, model, order.path("incarnation").asLong());
    journal.append(
        Journal.newEntry("order")
            .put("engine", settings.id())
            .put("model", model)
            .put("fencing", fencing)
            .put("status", status));
    if (status == OK) {
      highestFencingToken = Math.max(highestFencingToken, fencing);
      if (!loading && !model.equals(pool)) {
        loading = true;
        Thread thread = new Thread(() -> loadModel(model), "load-" + settings.id());
        thread.setDaemon(true);
        thread.start();
      }
    }
    return status;
  }

  private int checkOrder(long fencing, String model, long forIncarnation) {
    if (settings.checksFencing() && fencing < highestFencingToken) {
      return CONFLICT;
    }
    boolean known = settings.loadableModels().contains(model) && forIncarnation == incarnation;
    return known ? OK : BAD_REQUEST;
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

  /** Fills in what the engine announces of its model. */
  synchronized void fillAnnouncement(ObjectNode announcement, boolean leaving) {
    announcement.put("pool", pool);
    announcement.put("incarnation", incarnation);
    announcement.put("leaving", leaving || loading);
    announcement.put("checks_fencing", settings.checksFencing());
    settings.loadableModels().forEach(announcement.withArray("loadable")::add);
  }
}
