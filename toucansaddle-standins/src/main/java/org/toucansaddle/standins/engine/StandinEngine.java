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
 * <p>It knows no priorities and admits requests as they arrive; those above its slots wait inside.
 * Thread-safe.
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

  /** Starts an engine whose process dies of a request that crashes it. */
  public StandinEngine(EngineSettings settings, Journal journal) {
    this(settings, journal, () -> Runtime.getRuntime().halt(CRASH_EXIT_CODE));
  }

  /** Starts an engine; {@code onCrash} is what a request that crashes it brings about. */
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

  /** Returns how many requests run or wait inside. */
  public int activeRequests() {
    return activeRequests;
  }

  /** Fills in what the engine announces of its state. */
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
      case "/standin/fault" -> switchFault(exchange, json);
      case "/standin/leave" -> {
        draining.set(true);
        exchange.endExchange();
      }
      default -> exchange.setStatusCode(404).endExchange();
    }
  }

  private void switchFault(HttpServerExchange exchange, JsonNode json) {
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
    String attempt = header(exchange, "X-Attempt-Id", "none");
    int offset = Integer.parseInt(header(exchange, "X-Resume-Offset", "0"));
    EngineRequest request =
        new EngineRequest(
            exchange, attempt, json.path("user").asText("unknown"), prompt, offset, chat);
    journal.append(
        Journal.newEntry("start")
            .put("engine", settings.id())
            .put("attempt", attempt)
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

  private static String header(HttpServerExchange exchange, String name, String usual) {
    String value = exchange.getRequestHeaders().getFirst(name);
    return value == null ? usual : value;
  }

  // ---- steps ----

  private void runSteps() {
    long next = System.nanoTime();
    long nextSample = next;
    while (!closed) {
      next += settings.stepMillis() * 1_000_000L;
      if (!faults.isActive(Fault.FREEZE)) {
        step();
      }
      long now = System.nanoTime();
      if (now >= nextSample) {
        nextSample = now + SAMPLE_INTERVAL_MILLIS * 1_000_000L;
        journalSample();
      }
      if (next > now) {
        LockSupport.parkNanos(next - now);
      } else {
        next = now;
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
    running.stream().filter(r -> r.isFinished() || r.isDisconnected()).forEach(this::journalEnd);
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
    long live = running.stream().filter(request -> !request.isDisconnected()).count();
    entry.put("inside", live + waiting.size());
    ObjectNode service = entry.putObject("service");
    tokensByUser.forEach(service::put);
    Map<String, Integer> users = new HashMap<>();
    running.forEach(request -> users.merge(request.user(), 1, Integer::sum));
    ObjectNode byUser = entry.putObject("running_by_user");
    users.forEach(byUser::put);
    journal.append(entry);
  }

  @Override
  public void close() {
    closed = true;
    server.stop();
  }
}
