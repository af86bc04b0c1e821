package org.toucansaddle.daemon.internal.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.io.IoCallback;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.problem.Problem;
import org.toucansaddle.daemon.internal.problem.ProblemException;
import org.toucansaddle.daemon.internal.problem.RunState;
import org.toucansaddle.daemon.internal.request.Digests;
import org.toucansaddle.daemon.internal.request.ProblemWriter;
import org.toucansaddle.http.RequestBody;

/**
 * HTTP handler of the admin interface: authenticates operators by token and passes JSON requests to
 * an {@link AdminService}.
 *
 * <p>Thread-safe.
 */
public final class AdminHandler implements HttpHandler {

  private static final Logger LOG = LoggerFactory.getLogger(AdminHandler.class);
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String PATH_PREFIX = "/admin/v1/";
  private static final String AUTHORIZATION_SCHEME = "Bearer ";
  private static final int MAX_BODY_BYTES = 1 << 20;

  private final byte[] tokenDigest;
  private final AdminService service;

  /**
   * Creates a handler.
   *
   * @param tokenDigest SHA-256 digest of the operators' token, in hexadecimal
   * @param service executes the requests
   */
  public AdminHandler(String tokenDigest, AdminService service) {
    this.tokenDigest = HexFormat.of().parseHex(tokenDigest);
    this.service = service;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    if (!isAuthorized(exchange)) {
      respond(exchange, AdminProblems.unknownToken());
      return;
    }
    RequestBody.read(
        exchange,
        MAX_BODY_BYTES,
        bytes -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> perform(exchange, bytes)),
        failure ->
            exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> respond(exchange, AdminProblems.badBody("it is too long"))));
  }

  private boolean isAuthorized(HttpServerExchange exchange) {
    String authorization = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
    if (authorization == null || !authorization.startsWith(AUTHORIZATION_SCHEME)) {
      return false;
    }
    String token = authorization.substring(AUTHORIZATION_SCHEME.length()).trim();
    byte[] digest = Digests.sha256(token.getBytes(StandardCharsets.UTF_8));
    return MessageDigest.isEqual(tokenDigest, digest);
  }

  private void perform(HttpServerExchange exchange, byte[] bytes) {
    CompletableFuture<ObjectNode> answer;
    try {
      answer = service.perform(parseRequest(exchange, bytes));
    } catch (RuntimeException e) {
      answer = CompletableFuture.failedFuture(e);
    }
    answer.whenComplete(
        (node, failure) ->
            exchange
                .getIoThread()
                .execute(
                    () -> {
                      if (failure == null) {
                        respond(exchange, 200, "application/json", node.toString());
                      } else {
                        respond(exchange, toProblem(failure));
                      }
                    }));
  }

  private static AdminRequest parseRequest(HttpServerExchange exchange, byte[] bytes) {
    String path = exchange.getRequestPath();
    if (!path.startsWith(PATH_PREFIX)) {
      throw new ProblemException(AdminProblems.unknownPath(path));
    }
    String[] segments = path.substring(PATH_PREFIX.length()).split("/", 2);
    String name = segments.length > 1 ? segments[1] : "";
    String method = exchange.getRequestMethod().toString();
    return new AdminRequest(method, segments[0], name, parseBody(bytes));
  }

  private static ObjectNode parseBody(byte[] bytes) {
    if (bytes.length == 0) {
      return JSON.createObjectNode();
    }
    try {
      JsonNode node = JSON.readTree(bytes);
      if (node instanceof ObjectNode object) {
        return object;
      }
      throw new ProblemException(AdminProblems.badBody("it is not a JSON object"));
    } catch (JsonProcessingException e) {
      throw new ProblemException(AdminProblems.badBody(e.getOriginalMessage()));
    } catch (IOException e) {
      throw new ProblemException(AdminProblems.badBody(e.getMessage()));
    }
  }

  private static Problem toProblem(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof ProblemException e) {
      return e.problem();
    }
    LOG.error("an admin request failed with an internal error", cause);
    return Problem.of(
        500, "internal-error", RunState.UNKNOWN, "Internal error of the daemon. See its log.");
  }

  private static void respond(HttpServerExchange exchange, Problem problem) {
    respond(
        exchange,
        problem.status(),
        "application/problem+json",
        ProblemWriter.toJson("admin", problem));
  }

  private static void respond(
      HttpServerExchange exchange, int status, String contentType, String body) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
    ByteBuffer bytes = ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8));
    exchange.getResponseSender().send(bytes, IoCallback.END_EXCHANGE);
  }
}
