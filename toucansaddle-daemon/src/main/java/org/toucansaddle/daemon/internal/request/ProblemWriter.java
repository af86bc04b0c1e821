package org.toucansaddle.daemon.internal.request;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.io.IoCallback;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.toucansaddle.daemon.internal.logging.DecisionLog;
import org.toucansaddle.daemon.internal.metrics.RouterMetrics;
import org.toucansaddle.daemon.internal.problem.Problem;

/** Writes problems as {@code application/problem+json}. Thread-safe. */
public final class ProblemWriter {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final HttpString RUN_HEADER = new HttpString("X-Run");

  private final RouterMetrics metrics;

  /** Creates a writer. */
  public ProblemWriter(RouterMetrics metrics) {
    this.metrics = metrics;
  }

  /** Answers a request with a problem, from any thread. */
  public void write(CallerRequest request, Problem problem) {
    String workClass = request.workClass() == null ? "" : request.workClass().getName();
    DecisionLog.refused(request, problem);
    metrics.countAnswer(workClass, problem.type());
    HttpServerExchange exchange = request.exchange();
    exchange.getIoThread().execute(() -> write(exchange, request.id(), problem));
  }

  private static void write(HttpServerExchange exchange, String requestId, Problem problem) {
    if (exchange.isResponseStarted()) {
      return;
    }
    exchange.setStatusCode(problem.status());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/problem+json");
    exchange.getResponseHeaders().put(RUN_HEADER, problem.run().text());
    problem
        .retryAfterSeconds()
        .ifPresent(s -> exchange.getResponseHeaders().put(Headers.RETRY_AFTER, s));
    byte[] body = json(requestId, problem).getBytes(StandardCharsets.UTF_8);
    exchange.getResponseSender().send(ByteBuffer.wrap(body), IoCallback.END_EXCHANGE);
  }

  /** Returns a problem as JSON text. */
  public static String json(String requestId, Problem problem) {
    ObjectNode node = JSON.createObjectNode();
    node.put("type", "urn:toucansaddle:problem:" + problem.type());
    node.put("title", problem.type());
    node.put("status", problem.status());
    node.put("detail", problem.detail());
    node.put("run", problem.run().text());
    node.put("instance", "urn:toucansaddle:request:" + requestId);
    problem.retryAfterSeconds().ifPresent(seconds -> node.put("retry_after_seconds", seconds));
    return node.toString();
  }
}
