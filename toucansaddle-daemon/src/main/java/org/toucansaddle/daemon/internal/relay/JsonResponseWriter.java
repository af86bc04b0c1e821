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

/** Collects an answer and writes it as one JSON object. Used by one thread at a time. */
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
  public void append(List<ResponseChunk> parts) {
    parts.forEach(part -> text.append(part.text()));
  }

  @Override
  public void flush() {
    // The answer is written as a whole when it ends.
  }

  @Override
  public void complete(TokenUsage usage) {
    byte[] body = answer(usage).toString().getBytes(StandardCharsets.UTF_8);
    HttpServerExchange exchange = request.exchange();
    exchange
        .getIoThread()
        .execute(
            () -> {
              exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
              exchange.getResponseSender().send(ByteBuffer.wrap(body), IoCallback.END_EXCHANGE);
            });
  }

  private ObjectNode answer(TokenUsage usage) {
    boolean chat = request.json().has("messages");
    ObjectNode answer = JSON.createObjectNode();
    answer.put("id", request.id());
    answer.put("object", chat ? "chat.completion" : "text_completion");
    answer.put("model", request.pool().name());
    ObjectNode choice = answer.putArray("choices").addObject();
    choice.put("index", 0);
    if (chat) {
      choice.putObject("message").put("role", "assistant").put("content", text.toString());
    } else {
      choice.put("text", text.toString());
    }
    choice.put("finish_reason", usage.finishReason());
    answer
        .putObject("usage")
        .put("prompt_tokens", usage.promptTokens())
        .put("completion_tokens", usage.completionTokens())
        .put("total_tokens", usage.totalTokens());
    return answer;
  }

  @Override
  public void fail(Problem problem) {
    problems.write(request, problem);
  }
}
