package org.toucansaddle.daemon.internal.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.TreeSet;
import org.toucansaddle.daemon.internal.config.ConfigurationHolder;
import org.toucansaddle.daemon.internal.config.FleetConfiguration;
import org.toucansaddle.daemon.internal.problem.Problems;
import org.toucansaddle.daemon.internal.sharing.PoolKey;
import org.toucansaddle.protocol.generated.UpstreamKind;
import org.toucansaddle.protocol.generated.WorkClass;

/** Finds the class of work and checks that path and body fit it. Thread-safe. */
public final class ClassifyFilter implements RequestFilter {

  /** Prefix of the paths of plain services. */
  public static final String SERVICES = "/services/";

  private static final String COMPLETIONS = "/v1/completions";
  private static final String CHAT = "/v1/chat/completions";
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_TOKENS = 1 << 20;

  private final ConfigurationHolder holder;

  /** Creates a filter that reads the configuration in force. */
  public ClassifyFilter(ConfigurationHolder holder) {
    this.holder = holder;
  }

  @Override
  public void filter(CallerRequest request, FilterChain chain) {
    String path = request.exchange().getRequestPath();
    WorkClass workClass = findClass(request);
    if (path.equals(COMPLETIONS) || path.equals(CHAT)) {
      classifyModel(request, workClass);
    } else {
      classifyService(request, workClass, path);
    }
    request.setDigest(Digests.content(path, request.body()));
    chain.next(request);
  }

  private WorkClass findClass(CallerRequest request) {
    FleetConfiguration configuration = holder.current();
    String name = request.header("X-Work-Class");
    return configuration
        .findWorkClass(name)
        .orElseThrow(
            () -> {
              TreeSet<String> known = new TreeSet<>();
              configuration.classes().forEach(c -> known.add(c.getName()));
              return Problems.unknownClass(name, known);
            });
  }

  private static void classifyModel(CallerRequest request, WorkClass workClass) {
    if (!request.exchange().getRequestMethod().toString().equals("POST")) {
      throw Problems.badMethod(request.exchange().getRequestMethod().toString());
    }
    ObjectNode json = parse(request.body());
    String model = json.path("model").asText(workClass.getPool());
    if (workClass.getKind() != UpstreamKind.MODEL || !model.equals(workClass.getPool())) {
      throw Problems.unknownModel(model, workClass.getPool());
    }
    checkHint(request);
    request.setWorkClass(workClass, new PoolKey(UpstreamKind.MODEL, workClass.getPool()));
    request.setJson(json, json.path("stream").asBoolean(false));
  }

  private static ObjectNode parse(byte[] body) {
    JsonNode node;
    try {
      node = JSON.readTree(body);
    } catch (JsonProcessingException e) {
      throw Problems.badJson(e.getOriginalMessage());
    } catch (IOException e) {
      throw Problems.badJson(e.getMessage());
    }
    if (!(node instanceof ObjectNode object)) {
      throw Problems.badJson("it is not a JSON object");
    }
    boolean hasPrompt = object.path("prompt").isTextual() || object.path("messages").isArray();
    if (!hasPrompt) {
      throw Problems.badJson("it has neither 'prompt' text nor a list of 'messages'");
    }
    JsonNode maxTokens = object.path("max_tokens");
    boolean badMax =
        !maxTokens.isMissingNode()
            && !(maxTokens.canConvertToInt()
                && maxTokens.asInt() > 0
                && maxTokens.asInt() <= MAX_TOKENS);
    if (badMax) {
      throw Problems.badJson("'max_tokens' is not a number from 1 to " + MAX_TOKENS);
    }
    return object;
  }

  private static void checkHint(CallerRequest request) {
    String hint = request.header("X-Cost-Hint");
    if (!hint.isEmpty() && !hint.matches("[0-9]{1,9}")) {
      throw Problems.badHeader("X-Cost-Hint", "a whole number of tokens up to 999999999");
    }
  }

  private static void classifyService(CallerRequest request, WorkClass workClass, String path) {
    if (!path.startsWith(SERVICES)) {
      throw Problems.unknownPath(path);
    }
    String rest = path.substring(SERVICES.length());
    int slash = rest.indexOf('/');
    String service = slash < 0 ? rest : rest.substring(0, slash);
    boolean fits =
        workClass.getKind() == UpstreamKind.SERVICE && service.equals(workClass.getPool());
    if (!fits) {
      throw Problems.unknownService(service, workClass.getPool());
    }
    request.setWorkClass(workClass, new PoolKey(UpstreamKind.SERVICE, service));
  }
}
