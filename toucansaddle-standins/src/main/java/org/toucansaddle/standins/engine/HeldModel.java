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
final class HeldModel {

  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int BAD_REQUEST = 400;
  private static final int LEAVE_MILLIS = 1_500;
  private static final int CHECK_MILLIS = 50;

  private final EngineSettings settings;
  private final Journal journal;
  private final IntSupplier load;
  private String pool;
  private long incarnation = System.currentTimeMillis();
  private long highestFencing;
  private boolean loading;

  HeldModel(EngineSettings settings, Journal journal, IntSupplier load) {
    this.settings = settings;
    this.journal = journal;
    this.load = load;
    this.pool = settings.pool();
  }

  /** Follows an order, or refuses it; returns the HTTP status. */
  synchronized int order(JsonNode order) {
    long fencing = order.path("fencing").asLong();
    String model = order.path("model").asText();
    int status = judge(fencing, model, order.path("incarnation").asLong());
    journal.write(
        Journal.entry("order")
            .put("engine", settings.id())
            .put("model", model)
            .put("fencing", fencing)
            .put("status", status));
    if (status == OK) {
      highestFencing = Math.max(highestFencing, fencing);
      if (!loading && !model.equals(pool)) {
        loading = true;
        Thread thread = new Thread(() -> loadModel(model), "load-" + settings.id());
        thread.setDaemon(true);
        thread.start();
      }
    }
    return status;
  }

  private int judge(long fencing, String model, long forIncarnation) {
    if (settings.checksFencing() && fencing < highestFencing) {
      return CONFLICT;
    }
    boolean known = settings.loadable().contains(model) && forIncarnation == incarnation;
    return known ? OK : BAD_REQUEST;
  }

  private void loadModel(String model) {
    pause(LEAVE_MILLIS);
    while (load.getAsInt() > 0) {
      pause(CHECK_MILLIS);
    }
    pause(settings.loadMillis());
    synchronized (this) {
      pool = model;
      incarnation = Math.max(incarnation + 1, System.currentTimeMillis());
      loading = false;
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Fills in what the engine announces of its model. */
  synchronized void describe(ObjectNode announcement, boolean leaving) {
    announcement.put("pool", pool);
    announcement.put("incarnation", incarnation);
    announcement.put("leaving", leaving || loading);
    announcement.put("checks_fencing", settings.checksFencing());
    settings.loadable().forEach(announcement.withArray("loadable")::add);
  }
}
