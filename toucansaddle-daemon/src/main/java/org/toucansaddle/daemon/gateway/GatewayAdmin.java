package org.toucansaddle.daemon.gateway;

import io.undertow.server.HttpHandler;
import org.toucansaddle.daemon.internal.admin.AdminHandler;
import org.toucansaddle.daemon.internal.admin.DocumentOperations;

/**
 * Administration API of a gateway's control daemon, used by the {@code toucansaddle document}
 * command.
 *
 * <pre>{@code
 * HttpHandler admin = GatewayAdmin.handler(control, TomlDocuments.format(), tokenDigest);
 * Undertow.builder().addHttpListener(7200, "10.1.0.4").setHandler(admin).build().start();
 * }</pre>
 *
 * <p>Stateless and thread-safe.
 */
public final class GatewayAdmin {

  private GatewayAdmin() {}

  /**
   * Returns a handler of {@code PUT} and {@code GET /admin/v1/document} and {@code POST
   * /admin/v1/document/check}.
   *
   * @param format document format; must be the one of the gateway's settings
   * @param tokenDigest SHA-256 digest of the operator token, in hexadecimal
   */
  public static HttpHandler handler(
      ControlGateway control, DocumentFormat format, String tokenDigest) {
    return new AdminHandler(tokenDigest, new DocumentOperations(control, format));
  }
}
