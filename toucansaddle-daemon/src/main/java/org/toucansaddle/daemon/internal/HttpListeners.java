package org.toucansaddle.daemon.internal;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import org.toucansaddle.http.RequestBody;
import org.xnio.Options;

/** Configures HTTP listeners on addresses of the settings. Stateless and thread-safe. */
final class HttpListeners {

  private static final int NO_REQUEST_TIMEOUT_MILLIS = 60_000;

  /** Above the limit on callers' request headers, so that longer ones get a problem response. */
  private static final int MAX_HEADER_BYTES = 2 << 20;

  private static final int MAX_HEADERS = 100;

  private HttpListeners() {}

  /** Adds an HTTP listener; connections without a request for a minute are closed. */
  static Undertow.Builder add(Undertow.Builder builder, String address) {
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    return builder
        .addHttpListener(port, address.substring(0, colon))
        .setSocketOption(Options.TCP_NODELAY, true)
        .setSocketOption(Options.REUSE_ADDRESSES, true)
        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, NO_REQUEST_TIMEOUT_MILLIS)
        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
        .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, RequestBody.SERVER_MAX_BYTES);
  }
}
