package org.toucansaddle.daemon.internal.gateway;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.toucansaddle.daemon.gateway.GatewaySettings.OperatorAccess;
import org.toucansaddle.daemon.internal.admin.AdminHandler;
import org.toucansaddle.daemon.internal.admin.ExplainOperations;
import org.toucansaddle.daemon.internal.gateway.relay.CallerConnections;
import org.toucansaddle.daemon.internal.gateway.relay.ExplainedRequest;
import org.toucansaddle.daemon.internal.gateway.relay.RouteExplanation;
import org.toucansaddle.http.RequestBody;
import org.xnio.OptionMap;
import org.xnio.XnioWorker;

/** Starts the HTTP listeners of a router, which share a pool of buffers. Thread-safe. */
final class RouterListeners {

  /** Connections for readiness, metrics and operators at each of their addresses. */
  private static final int MAX_SERVICE_CONNECTIONS = 64;

  /** New connections that may wait at an I/O thread. */
  static final int MAX_ARRIVED_CONNECTIONS = 1_000;

  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int MAX_HEADER_BYTES = 64 * 1024;
  private static final int MAX_HEADERS = 200;
  private static final int NO_REQUEST_TIMEOUT_MILLIS = 60_000;

  private static final OptionMap HTTP_OPTIONS =
      OptionMap.builder()
          .set(UndertowOptions.DECODE_URL, false)
          .set(UndertowOptions.ALWAYS_SET_DATE, false)
          .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
          .set(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
          .set(UndertowOptions.NO_REQUEST_TIMEOUT, NO_REQUEST_TIMEOUT_MILLIS)
          .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
          .set(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
          .set(UndertowOptions.MAX_ENTITY_SIZE, RequestBody.SERVER_MAX_BYTES)
          .getMap();

  private final XnioWorker worker;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, -1, 4);

  /** Creates an object whose listeners share a worker and a pool of buffers. */
  RouterListeners(XnioWorker worker) {
    this.worker = worker;
  }

  /**
   * Listens for operators, who authenticate with their token.
   *
   * @throws IOException if the address cannot be bound
   */
  PacedHttpListener listenForOperators(
      OperatorAccess access, Function<ExplainedRequest, RouteExplanation> explainer)
      throws IOException {
    return listen(
        access.address(), new AdminHandler(access.tokenDigest(), new ExplainOperations(explainer)));
  }

  /**
   * Listens with a budget of its own, so that checks are answered whatever callers do.
   *
   * @throws IOException if the address cannot be bound
   */
  PacedHttpListener listen(String address, HttpHandler rootHandler) throws IOException {
    CallerConnections own = new CallerConnections(MAX_SERVICE_CONNECTIONS, System::nanoTime);
    return listen(address, rootHandler, own, () -> false);
  }

  /**
   * Listens for callers.
   *
   * @param bounds connections, which are bounded together
   * @param refusesAll whether new connections are refused now
   * @throws IOException if the address cannot be bound
   */
  PacedHttpListener listen(
      String address, HttpHandler rootHandler, CallerConnections bounds, BooleanSupplier refusesAll)
      throws IOException {
    int colon = address.lastIndexOf(':');
    InetSocketAddress bound =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    return new PacedHttpListener(
        bound,
        rootHandler,
        worker,
        buffers,
        HTTP_OPTIONS,
        MAX_ARRIVED_CONNECTIONS,
        bounds,
        refusesAll);
  }
}
