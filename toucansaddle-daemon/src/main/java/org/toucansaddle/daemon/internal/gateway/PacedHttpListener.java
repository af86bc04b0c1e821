package org.toucansaddle.daemon.internal.gateway;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.admission.DescriptorBudget;
import org.toucansaddle.daemon.internal.gateway.relay.CallerConnections;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * HTTP listener whose new connections share the I/O threads with the open ones.
 *
 * <p>Undertow's own listener handles the first request of each new connection before anything else.
 * While callers connect faster than that, an I/O thread reads neither responses of upstreams nor
 * requests on open connections. Here a limited number is handled between two passes over the open
 * connections, the newest first ({@link ArrivalQueue}). Those that wait too long are refused
 * without being parsed ({@link EarlyRefusal}).
 *
 * <p>All of its connections share one budget of descriptors, so that accepting does not fail. For a
 * new one an idle connection gives way first, then one that lingers after its refusal, then the one
 * that waits longest; otherwise the new one is closed. Thread-safe.
 */
final class PacedHttpListener implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(PacedHttpListener.class);

  /** New connections handled before the I/O thread serves the open ones. */
  static final int MAX_HANDLED_PER_PASS = 16;

  /** Time after which no more new connections are handled in a pass. */
  private static final long MAX_PASS_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /** Overdue connections refused in a pass. */
  private static final int MAX_REFUSED_PER_PASS = 64;

  /** Wait after which a new connection is refused unless a shorter one is set. */
  private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Bounds of the connections that wait to be accepted, within the budget of descriptors. */
  private static final int MIN_BACKLOG = 128;

  private static final int MAX_BACKLOG = 1_000;

  /**
   * Fraction of the budget that may wait to be accepted. All of them can arrive before the selector
   * returns the descriptors of those that are closed for them.
   */
  private static final double MAX_BACKLOG_FRACTION = 0.25;

  private final HttpOpenListener connectionListener;
  private final AcceptingChannel<StreamConnection> server;

  private final AtomicBoolean closed = new AtomicBoolean();
  private final Map<XnioIoThread, ArrivedConnections> arrivedByThread = new ConcurrentHashMap<>();
  private final int maxArrived;
  private final CallerConnections connections;
  private final DescriptorBudget budget;
  private final BooleanSupplier refusesAll;
  private final AtomicLong rejected = new AtomicLong();
  private final AtomicLong refused = new AtomicLong();
  private final AtomicInteger waiting = new AtomicInteger();
  private volatile long maxWaitNanos = MAX_WAIT_NANOS;

  /**
   * Starts a listener.
   *
   * @param options options for the HTTP protocol, as in {@link UndertowOptions}
   * @param maxArrived new connections that may wait at an I/O thread; more are closed, so that
   *     their callers go elsewhere
   * @param connections open connections with their budget of descriptors
   * @param refusesAll whether new connections are refused as they arrive
   * @throws IOException if the address cannot be bound
   */
  PacedHttpListener(
      InetSocketAddress address,
      HttpHandler handler,
      XnioWorker worker,
      ByteBufferPool buffers,
      OptionMap options,
      int maxArrived,
      CallerConnections connections,
      BooleanSupplier refusesAll)
      throws IOException {
    this.maxArrived = maxArrived;
    this.connections = connections;
    this.budget = connections.budget();
    this.refusesAll = refusesAll;
    this.connectionListener =
        new HttpOpenListener(
            buffers,
            OptionMap.builder()
                // The buffer would hold back the events of streams.
                .set(UndertowOptions.BUFFER_PIPELINED_DATA, false)
                .addAll(options)
                .getMap());
    connectionListener.setRootHandler(exchange -> handle(exchange, handler));
    for (int index = 0; index < worker.getIoThreadCount(); index++) {
      XnioIoThread thread = worker.getIoThread(index);
      arrivedByThread.put(thread, new ArrivedConnections(thread));
    }
    OptionMap socketOptions =
        OptionMap.builder()
            .set(Options.TCP_NODELAY, true)
            .set(Options.REUSE_ADDRESSES, true)
            .set(Options.BACKLOG, backlog(budget.maxOpen()))
            .getMap();
    this.server =
        worker.createStreamConnectionServer(
            address, channel -> takeOver(channel::accept), socketOptions);
    server.resumeAccepts();
  }

  /** Calls a handler; the connection is in use until the response is written. */
  private void handle(HttpServerExchange exchange, HttpHandler handler) throws Exception {
    ServerConnection connection = exchange.getConnection();
    connections.onRequestStarted(connection);
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          connections.onRequestEnded(connection);
          next.proceed();
        });
    handler.handleRequest(exchange);
  }

  private static int backlog(int maxOpen) {
    int byBudget = (int) (MAX_BACKLOG_FRACTION * maxOpen);
    return Math.max(MIN_BACKLOG, Math.min(MAX_BACKLOG, byBudget));
  }

  /** New connections of an I/O thread; null if none is left. */
  interface AcceptQueue {
    StreamConnection poll() throws IOException;
  }

  /**
   * Takes over all accepted connections. The server calls this again, without a pass over the open
   * connections, as long as one of them is left. Called by I/O threads only.
   */
  void takeOver(AcceptQueue accepted) {
    ArrivedConnections arrived = arrivedByThread.get(XnioIoThread.currentThread());
    try {
      StreamConnection connection = accepted.poll();
      while (connection != null) {
        arrived.add(connection);
        connection = accepted.poll();
      }
    } catch (IOException e) {
      LOG.warn("a connection of a caller could not be accepted: {}", e.getMessage());
    }
    arrived.startHandling();
  }

  /** Sets the wait after which new connections are refused, in nanoseconds. */
  void refuseAfter(long nanos) {
    maxWaitNanos = nanos;
  }

  /** Returns the number of connections closed since too many waited. */
  long rejectedCount() {
    return rejected.get();
  }

  /** Returns the number of connections refused since they waited too long or all are refused. */
  long refusedCount() {
    return refused.get();
  }

  /** Returns the number of connections that were accepted and are not handled yet. */
  int waitingCount() {
    return waiting.get();
  }

  /** Connections that have arrived at an I/O thread and are not handled yet; confined to it. */
  private final class ArrivedConnections {
    private final ArrivalQueue<StreamConnection> queue =
        new ArrivalQueue<>(maxArrived, () -> maxWaitNanos);

    /** Refused connections that are still open, in the order of their refusal. */
    private final Set<StreamConnection> lingering = new LinkedHashSet<>();

    private final List<BooleanSupplier> closers;
    private final SelectionTurn nextPass;
    private boolean passScheduled;

    ArrivedConnections(XnioIoThread thread) throws IOException {
      this.nextPass = new SelectionTurn(thread, this::handleSome);
      this.closers =
          List.of(
              () -> connections.closeLeastRecentlyUsed(thread),
              this::closeLingering,
              this::closeOldestWaiting);
    }

    void add(StreamConnection connection) {
      if (!budget.makeRoom(closers)) {
        rejected.incrementAndGet();
        EarlyRefusal.refuseAndClose(connection);
        return;
      }
      DescriptorBudget.Holding holding = budget.hold();
      connection.setCloseListener(closed -> onClosed(closed, holding));
      if (refusesAll.getAsBoolean()) {
        refuse(connection);
        return;
      }
      waiting.incrementAndGet();
      queue.add(connection, System.nanoTime()).ifPresent(this::reject);
    }

    private void onClosed(StreamConnection connection, DescriptorBudget.Holding holding) {
      holding.close();
      lingering.remove(connection);
      connections.onClosed(connection);
    }

    private boolean closeLingering() {
      Optional<StreamConnection> oldest = lingering.stream().findFirst();
      oldest.ifPresent(IoUtils::safeClose);
      return oldest.isPresent();
    }

    private boolean closeOldestWaiting() {
      Optional<StreamConnection> oldest = queue.takeOldest();
      oldest.ifPresent(this::reject);
      return oldest.isPresent();
    }

    /** Closes a connection that was waiting, so that its caller goes elsewhere. */
    private void reject(StreamConnection connection) {
      waiting.decrementAndGet();
      rejected.incrementAndGet();
      EarlyRefusal.refuseAndClose(connection);
    }

    private void refuse(StreamConnection connection) {
      refused.incrementAndGet();
      lingering.add(connection);
      EarlyRefusal.refuse(connection);
    }

    void startHandling() {
      if (!passScheduled) {
        handleSome();
      }
    }

    private void handleSome() {
      long startNanos = System.nanoTime();
      refuseOverdue(startNanos);
      int count = 0;
      do {
        queue.takeNewest().ifPresent(this::handle);
        count++;
      } while (count < MAX_HANDLED_PER_PASS
          && !queue.isEmpty()
          && System.nanoTime() - startNanos < MAX_PASS_NANOS);
      passScheduled = !queue.isEmpty();
      if (passScheduled) {
        nextPass.request();
      }
    }

    private void handle(StreamConnection connection) {
      waiting.decrementAndGet();
      ChannelListener<? super StreamConnection> counting = connection.getCloseListener();
      connections.onRead(connection);
      connectionListener.handleEvent(connection);
      ChannelListener<? super StreamConnection> protocol = connection.getCloseListener();
      connection.setCloseListener(
          closed -> {
            counting.handleEvent(closed);
            ChannelListeners.invokeChannelListener(closed, protocol);
          });
      if (!connection.isOpen()) {
        counting.handleEvent(connection);
      }
    }

    private void refuseOverdue(long now) {
      Optional<StreamConnection> overdue = queue.takeOverdue(now);
      for (int count = 1; overdue.isPresent(); count++) {
        waiting.decrementAndGet();
        refuse(overdue.get());
        overdue = count < MAX_REFUSED_PER_PASS ? queue.takeOverdue(now) : Optional.empty();
      }
    }
  }

  /** Closes the listener and its connections, once; a second close would wait for ended threads. */
  @Override
  public void close() {
    if (closed.compareAndSet(false, true)) {
      IoUtils.safeClose(server);
      connectionListener.closeConnections();
      arrivedByThread.values().forEach(arrived -> arrived.nextPass.close());
    }
  }
}
