package org.toucansaddle.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.toucansaddle.standins.engine.EngineFaults.Fault;
import org.toucansaddle.standins.journal.Journal;
import org.xnio.Options;

/**
 * A model engine with continuous batching: each step yields one token for every running request.
 *
 * <p>Requests start in order of arrival, without priorities; those beyond the number of slots wait
 * in the engine. A prompt that contains {@code [crash]} crashes the engine. Thread-safe.
 */
public final class StandinEngine implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int SAMPLE_INTERVAL_MILLIS = 100;
  private static final int CRASH_EXIT_CODE = 70;
  private static final String CRASH_MARKER = "[crash]";

  private final EngineSettings settings;
  private final Journal journal;
  private final EngineFaults faults = new EngineFaults();
  private final Undertow server;
  private final Thread stepThread;
  private final Deque<EngineRequest> waiting = new ArrayDeque<>();
  private final List<EngineRequest> running = new ArrayList<>();
  private final Map<String, Long> tokensByUser = new HashMap<>();
  private final AtomicBoolean draining = new AtomicBoolean();
  private volatile boolean closed;
  private final Runnable onCrash;
  private final LoadedModel loadedModel;
  private volatile int activeRequests;

  /** Starts an engine; a crash halts the process without shutdown hooks. */
  public StandinEngine(EngineSettings settings, Journal journal) {
    this(settings, journal, () -> Runtime.getRuntime().halt(CRASH_EXIT_CODE));
  }

  /** Starts an engine that runs {@code onCrash} on a crash instead of halting. */
  public StandinEngine(EngineSettings settings, Journal journal, Runnable onCrash) {
    this.settings = settings;
    this.journal = journal;
    this.onCrash = onCrash;
    this.loadedModel = new LoadedModel(settings, journal, this::activeRequests);
    this.server =
        Undertow.builder()
            .addHttpListener(settings.port(), "127.0.0.1")
            .setIoThreads(1)
            .setWorkerThreads(1)
            .setSocketOption(Options.TCP_NODELAY, true)
            .setHandler(this::handle)
            .build();
    server.start();
    stepThread = new Thread(this::runSteps, "engine-" + settings.id());
    stepThread.setDaemon(true);
    stepThread.start();
  }

  /** Returns the number of running and waiting requests at the end of the latest step. */
  public int activeRequests() {
    return activeRequests;
  }

  /** Adds the fields that depend on the state of the engine and returns the announcement. */
  public ObjectNode fillAnnouncement(ObjectNode announcement) {
    loadedModel.fillAnnouncement(announcement, draining.get());
    return announcement.put("running", activeRequests);
  }

  private void handle(HttpServerExchange exchange) {
    exchange.getRequestReceiver().receiveFullBytes(this::route);
  }

  private void route(HttpServerExchange exchange, byte[] body) {
    JsonNode json;
    try {
      json = JSON.readTree(body);
    } catch (IOException e) {
      exchange.setStatusCode(400).endExchange();
      return;
    }
    switch (exchange.getRequestPath()) {
      case "/v1/completions" -> admit(exchange, json, false);
      case "/v1/chat/completions" -> admit(exchange, json, true);
      case "/v1/orders" -> exchange.setStatusCode(loadedModel.handleOrder(json)).endExchange();
      case "/standin/fault" -> setFault(exchange, json);
      case "/standin/leave" -> {
        draining.set(true);
        exchange.endExchange();
      }
      default -> exchange.setStatusCode(404).endExchange();
    }
  }

  private void setFault(HttpServerExchange exchange, JsonNode json) {
    Fault fault = Fault.valueOf(json.path("fault").asText().toUpperCase(Locale.ROOT));
    boolean on = json.path("on").asBoolean(true);
    faults.setActive(fault, on);
    if (fault == Fault.SILENT && on) {
      synchronized (this) {
        running.forEach(EngineRequest::suppressOutput);
      }
      faults.setActive(Fault.SILENT, false);
    }
    exchange.endExchange();
  }

  private void admit(HttpServerExchange exchange, JsonNode json, boolean chat) {
    String prompt =
        chat
            ? json.path("messages").path(json.path("messages").size() - 1).path("content").asText()
            : json.path("prompt").asText();
    String attemptId = header(exchange, "X-Attempt-Id", "none");
    int offset = Integer.parseInt(header(exchange, "X-Resume-Offset", "0"));
    EngineRequest request =
        new EngineRequest(
            exchange, attemptId, json.path("user").asText("unknown"), prompt, offset, chat);
    journal.append(
        Journal.newEntry("start")
            .put("engine", settings.id())
            .put("attempt", attemptId)
            .put("user", request.user())
            .put("offset", offset)
            .put("prompt", Long.toHexString(ExpectedCompletion.promptHash(prompt))));
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () -> {
          synchronized (this) {
            waiting.add(request);
          }
          request.startResponse();
        });
  }

  private static String header(HttpServerExchange exchange, String name, String defaultValue) {
    String value = exchange.getRequestHeaders().getFirst(name);
    return value == null ? defaultValue : value;
  }

  private void runSteps() {
    long nextStepNanos = System.nanoTime();
    long nextSampleNanos = nextStepNanos;
    while (!closed) {
      nextStepNanos += settings.stepMillis() * 1_000_000L;
      if (!faults.isActive(Fault.FREEZE)) {
        step();
      }
      long now = System.nanoTime();
      if (now >= nextSampleNanos) {
        nextSampleNanos = now + SAMPLE_INTERVAL_MILLIS * 1_000_000L;
        journalSample();
      }
      if (nextStepNanos > now) {
        LockSupport.parkNanos(nextStepNanos - now);
      } else {
        nextStepNanos = now;
      }
    }
  }

  private synchronized void step() {
    while (running.size() < settings.slots() && !waiting.isEmpty()) {
      running.add(waiting.poll());
    }
    for (int i = 0; i < running.size(); i++) {
      stepRequest(running.get(i), running.get((i + 1) % running.size()));
    }
    running.stream()
        .filter(request -> request.isFinished() || request.isDisconnected())
        .forEach(this::journalEnd);
    running.removeIf(request -> request.isFinished() || request.isDisconnected());
    waiting.removeIf(EngineRequest::isDisconnected);
    activeRequests = running.size() + waiting.size();
  }

  private void stepRequest(EngineRequest request, EngineRequest other) {
    if (request.prompt().contains(CRASH_MARKER)) {
      onCrash.run();
      return;
    }
    if (faults.isActive(Fault.CLOSE) && request.nextTokenIndex() > 2) {
      request.abort();
      return;
    }
    request.generateToken(faults.isActive(Fault.CROSS) ? other.attemptId() : request.attemptId());
    tokensByUser.merge(request.user(), 1L, Long::sum);
  }

  private void journalEnd(EngineRequest request) {
    journal.append(
        Journal.newEntry(request.isFinished() ? "end" : "cancel")
            .put("engine", settings.id())
            .put("attempt", request.attemptId())
            .put("user", request.user())
            .put("tokens", request.nextTokenIndex()));
    if (request.isFinished()) {
      tokensByUser.merge(request.user(), (long) request.promptTokens(), Long::sum);
    }
  }

  private synchronized void journalSample() {
    ObjectNode entry = Journal.newEntry("sample").put("engine", settings.id());
    entry.put("slots", settings.slots()).put("running", running.size());
    long connected = running.stream().filter(request -> !request.isDisconnected()).count();
    entry.put("inside", connected + waiting.size());
    ObjectNode tokens = entry.putObject("service");
    tokensByUser.forEach(tokens::put);
    Map<String, Integer> runningByUser = new HashMap<>();
    running.forEach(request -> runningByUser.merge(request.user(), 1, Integer::sum));
    ObjectNode runningNode = entry.putObject("running_by_user");
    runningByUser.forEach(runningNode::put);
    journal.append(entry);
  }

  @Override
  public void close() {
    closed = true;
    server.stop();
  }
}
