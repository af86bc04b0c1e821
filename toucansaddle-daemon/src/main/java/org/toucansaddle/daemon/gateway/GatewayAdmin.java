package org.toucansaddle.daemon.gateway;

import io.undertow.server.HttpHandler;
import org.toucansaddle.daemon.internal.admin.AdminHandler;
import org.toucansaddle.daemon.internal.admin.AdminService;
import org.toucansaddle.daemon.internal.admin.DocumentOperations;
import org.toucansaddle.daemon.internal.admin.ZoneOperations;

/**
 * Administration API of a gateway's control daemon, used by the {@code toucansaddle document} and
 * {@code toucansaddle zone} commands.
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
   * Returns a handler of {@code PUT} and {@code GET /admin/v1/document}, {@code POST
   * /admin/v1/document/check}, {@code GET /admin/v1/zones}, and {@code DELETE} and {@code PUT
   * /admin/v1/zones/NAME}, which take a zone out of service and back.
   *
   * @param format document format; must be the one of the gateway's settings
   * @param tokenDigest SHA-256 digest of the operator token, in hexadecimal
   */
  public static HttpHandler handler(
      ControlGateway control, DocumentFormat format, String tokenDigest) {
    AdminService documents = new DocumentOperations(control, format);
    AdminService zones = new ZoneOperations(control);
    return new AdminHandler(
        tokenDigest,
        request ->
            request.collection().equals(ZoneOperations.COLLECTION)
                ? zones.perform(request)
                : documents.perform(request));
  }
}
