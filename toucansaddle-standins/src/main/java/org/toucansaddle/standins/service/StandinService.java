package org.toucansaddle.standins.service;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.io.IoCallback;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.toucansaddle.standins.journal.Journal;

/**
 * A plain service that records defects without deduplication: each call creates a new record, so
 * that a repeated call shows up in the journal.
 *
 * <p>Thread-safe.
 */
public final class StandinService implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final HttpString ATTEMPT_ID_HEADER = new HttpString("X-Attempt-Id");

  private final ServiceSettings settings;
  private final Journal journal;
  private final Undertow server;
  private final AtomicLong nextRecordNumber = new AtomicLong(1);
  private final AtomicInteger activeRequests = new AtomicInteger();
  private final AtomicBoolean draining = new AtomicBoolean();

  /** Starts a service that listens on the port of its settings. */
  public StandinService(ServiceSettings settings, Journal journal) {
    this.settings = settings;
    this.journal = journal;
    this.server =
        Undertow.builder()
            .addHttpListener(settings.port(), "127.0.0.1")
            .setIoThreads(1)
            .setWorkerThreads(1)
            .setHandler(exchange -> exchange.getRequestReceiver().receiveFullBytes(this::handle))
            .build();
    server.start();
  }

  /** Returns the number of calls that have not been answered yet. */
  public int activeRequests() {
    return activeRequests.get();
  }

  /** Returns whether the service is draining, so that its announcement rejects new calls. */
  public boolean isDraining() {
    return draining.get();
  }

  private void handle(HttpServerExchange exchange, byte[] body) {
    if (exchange.getRequestPath().equals("/standin/leave")) {
      draining.set(true);
      exchange.endExchange();
      return;
    }
    JsonNode json;
    try {
      json = JSON.readTree(body);
    } catch (IOException e) {
      exchange.setStatusCode(400).endExchange();
      return;
    }
    recordDefect(exchange, json);
  }

  private void recordDefect(HttpServerExchange exchange, JsonNode json) {
    activeRequests.incrementAndGet();
    long number = nextRecordNumber.getAndIncrement();
    String attemptId = header(exchange, "X-Attempt-Id");
    journal.append(
        Journal.newEntry("recorded")
            .put("service", settings.id())
            .put("attempt", attemptId)
            .put("key", header(exchange, "Idempotency-Key"))
            .put("number", number));
    ObjectNode response = JSON.createObjectNode();
    response.put("recorded", number).put("by", settings.id());
    response.set("defect", json);
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () ->
            exchange
                .getIoThread()
                .executeAfter(
                    () -> respond(exchange, attemptId, response),
                    settings.delayMillis(),
                    TimeUnit.MILLISECONDS));
  }

  private void respond(HttpServerExchange exchange, String attemptId, ObjectNode response) {
    activeRequests.decrementAndGet();
    exchange.setStatusCode(201);
    exchange.getResponseHeaders().put(ATTEMPT_ID_HEADER, attemptId);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(response.toString(), IoCallback.END_EXCHANGE);
  }

  private static String header(HttpServerExchange exchange, String name) {
    String value = exchange.getRequestHeaders().getFirst(name);
    return value == null ? "" : value;
  }

  @Override
  public void close() {
    server.stop();
  }
}
