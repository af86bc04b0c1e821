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
  private static final int MAX_TRACKED_ROUTES = 2_000;

  private final RouterState state;
  private final HeaderCodec codec;
  private final AdmissionControl admission;
  private final UpstreamSelector selector;
  private final RelayMetrics metrics;
  private final RouterSettings settings;
  private final LongSupplier nanoClock;
  private final ByteBufferPool bufferPool;
  private final BooleanSupplier closing;
  private final Map<String, RetryBudget> retryBudgets = new ConcurrentHashMap<>();
  private final Map<String, OnTimeRate> onTimeRates = new ConcurrentHashMap<>();
  private final Map<String, FirstTokenEstimator> estimators = new ConcurrentHashMap<>();
  private final Map<XnioIoThread, UpstreamConnectionPool> connectionPools =
      new ConcurrentHashMap<>();

  /**
   * Creates the context of a router.
   *
   * @param clock gives nanoseconds
   * @param closing whether connections of callers end after their answer
   */
  public RelayContext(
      RouterState state,
      HeaderCodec codec,
      UpstreamSelector placement,
      RelayMetrics metrics,
      RouterSettings settings,
      LongSupplier clock,
      ByteBufferPool buffers,
      BooleanSupplier closing) {
    this.state = state;
    this.codec = codec;
    this.admission = new AdmissionControl(state.shares());
    this.selector = placement;
    this.metrics = metrics;
    this.settings = settings;
    this.nanoClock = clock;
    this.bufferPool = buffers;
    this.closing = closing;
  }

  RouterState state() {
    return state;
  }

  HeaderCodec codec() {
    return codec;
  }

  AdmissionControl admission() {
    return admission;
  }

  UpstreamSelector selector() {
    return selector;
  }

  RelayMetrics metrics() {
    return metrics;
  }

  long nowNanos() {
    return nanoClock.getAsLong();
  }

  boolean isClosing() {
    return closing.getAsBoolean();
  }

  RetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service,
        name ->
            new RetryBudget(
                settings.retryRatio(),
                settings.retrySlack(),
                settings.retryWindowMillis(),
                state::routers,
                nanoClock));
  }

  /** Routes that are gone are forgotten with all others, which are learned anew. */
  OnTimeRate onTimeRate(String route) {
    if (onTimeRates.size() > MAX_TRACKED_ROUTES) {
      onTimeRates.clear();
    }
    return onTimeRates.computeIfAbsent(route, name -> new OnTimeRate());
  }

  FirstTokenEstimator estimator(String service) {
    return estimators.computeIfAbsent(service, name -> new FirstTokenEstimator());
  }

  UpstreamConnectionPool connectionPool(XnioIoThread ioThread) {
    return connectionPools.computeIfAbsent(
        ioThread, t -> new UpstreamConnectionPool(t, bufferPool));
  }

  /** Closes connections that were idle for too long. */
  public void closeExpiredConnections() {
    connectionPools.forEach((ioThread, pool) -> ioThread.execute(pool::closeExpired));
  }
}
