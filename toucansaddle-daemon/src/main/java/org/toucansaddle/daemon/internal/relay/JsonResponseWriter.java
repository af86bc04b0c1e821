package org.toucansaddle.daemon.internal.relay;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.io.IoCallback;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.toucansaddle.daemon.internal.problem.Problem;
import org.toucansaddle.daemon.internal.request.CallerRequest;
import org.toucansaddle.daemon.internal.request.ProblemWriter;

/** Buffers a response and writes it as one JSON object. Not thread-safe. */
final class JsonResponseWriter implements ResponseWriter {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final CallerRequest request;
  private final ProblemWriter problems;
  private final StringBuilder text = new StringBuilder();

  JsonResponseWriter(CallerRequest request, ProblemWriter problems) {
    this.request = request;
    this.problems = problems;
  }

  @Override
  public void append(List<ResponseChunk> chunks) {
    chunks.forEach(chunk -> text.append(chunk.text()));
  }

  @Override
  public void flush() {
    // The response is written when it completes.
  }

  @Override
  public void complete(TokenUsage usage) {
    byte[] body = toJson(usage).toString().getBytes(StandardCharsets.UTF_8);
    HttpServerExchange exchange = request.exchange();
    exchange
        .getIoThread()
        .execute(
            () -> {
              exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
              exchange.getResponseSender().send(ByteBuffer.wrap(body), IoCallback.END_EXCHANGE);
            });
  }

  private ObjectNode toJson(TokenUsage usage) {
    boolean chat = request.json().has("messages");
    ObjectNode response = JSON.createObjectNode();
    response.put("id", request.id());
    response.put("object", chat ? "chat.completion" : "text_completion");
    response.put("model", request.pool().name());
    ObjectNode choice = response.putArray("choices").addObject();
    choice.put("index", 0);
    if (chat) {
      choice.putObject("message").put("role", "assistant").put("content", text.toString());
    } else {
      choice.put("text", text.toString());
    }
    choice.put("finish_reason", usage.finishReason());
    response
        .putObject("usage")
        .put("prompt_tokens", usage.promptTokens())
        .put("completion_tokens", usage.completionTokens())
        .put("total_tokens", usage.totalTokens());
    return response;
  }

  @Override
  public void fail(Problem problem) {
    problems.write(request, problem);
  }
}
