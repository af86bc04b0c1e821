package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.connector.ByteBufferPool;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.toucansaddle.daemon.gateway.GatewaySettings.RouterSettings;
import org.toucansaddle.daemon.internal.gateway.routing.RouterState;
import org.xnio.XnioIoThread;

/** What all requests of a router share. Thread-safe. */
public final class RelayContext {

  /** Bound of the memory for routes, above the number that a configuration usually has. */
  private static final int MAX_ROUTES_LEARNED = 2_000;

  private final RouterState state;
  private final HeaderCodec codec;
  private final Admission admission;
  private final Placement placement;
  private final RelayMetrics metrics;
  private final RouterSettings settings;
  private final LongSupplier clock;
  private final ByteBufferPool buffers;
  private final BooleanSupplier closing;
  private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();
  private final Map<String, Punctuality> punctualities = new ConcurrentHashMap<>();
  private final Map<String, EngineSpeed> speeds = new ConcurrentHashMap<>();
  private final Map<XnioIoThread, UpstreamConnections> connections = new ConcurrentHashMap<>();

  /**
   * Creates the context of a router.
   *
   * @param clock gives nanoseconds
   * @param closing whether connections of callers end after their answer
   */
  public RelayContext(
      RouterState state,
      HeaderCodec codec,
      Placement placement,
      RelayMetrics metrics,
      RouterSettings settings,
      LongSupplier clock,
      ByteBufferPool buffers,
      BooleanSupplier closing) {
    this.state = state;
    this.codec = codec;
    this.admission = new Admission(state.shares());
    this.placement = placement;
    this.metrics = metrics;
    this.settings = settings;
    this.clock = clock;
    this.buffers = buffers;
    this.closing = closing;
  }

  RouterState state() {
    return state;
  }

  HeaderCodec codec() {
    return codec;
  }

  Admission admission() {
    return admission;
  }

  Placement placement() {
    return placement;
  }

  RelayMetrics metrics() {
    return metrics;
  }

  long now() {
    return clock.getAsLong();
  }

  boolean isClosing() {
    return closing.getAsBoolean();
  }

  RetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service,
        name ->
            new RetryBudget(
                settings.retryRatio(),
                settings.retrySlack(),
                settings.retryWindowMillis(),
                state::routers,
                clock));
  }

  /** Routes that are gone are forgotten with all others, which are learned anew. */
  Punctuality punctuality(String route) {
    if (punctualities.size() > MAX_ROUTES_LEARNED) {
      punctualities.clear();
    }
    return punctualities.computeIfAbsent(route, name -> new Punctuality());
  }

  EngineSpeed speed(String service) {
    return speeds.computeIfAbsent(service, name -> new EngineSpeed());
  }

  UpstreamConnections connections(XnioIoThread ioThread) {
    return connections.computeIfAbsent(ioThread, t -> new UpstreamConnections(t, buffers));
  }

  /** Closes connections that were idle for too long. */
  public void closeIdle() {
    connections.forEach((ioThread, pool) -> ioThread.execute(pool::closeIdle));
  }
}
