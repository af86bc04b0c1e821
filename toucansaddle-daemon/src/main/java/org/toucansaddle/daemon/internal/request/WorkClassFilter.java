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

/**
 * Looks up the work class that the request names and checks that path, method and body fit it.
 *
 * <p>Thread-safe.
 */
public final class WorkClassFilter implements RequestFilter {

  /** Path prefix of requests to plain services. */
  public static final String SERVICE_PATH_PREFIX = "/services/";

  private static final String COMPLETIONS_PATH = "/v1/completions";
  private static final String CHAT_COMPLETIONS_PATH = "/v1/chat/completions";
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_TOKENS = 1 << 20;

  private final ConfigurationHolder configurationHolder;

  /** Creates a filter that reads the current configuration. */
  public WorkClassFilter(ConfigurationHolder configurationHolder) {
    this.configurationHolder = configurationHolder;
  }

  @Override
  public void filter(CallerRequest request, FilterChain chain) {
    String path = request.exchange().getRequestPath();
    WorkClass workClass = findWorkClass(request);
    if (path.equals(COMPLETIONS_PATH) || path.equals(CHAT_COMPLETIONS_PATH)) {
      classifyModel(request, workClass);
    } else {
      classifyService(request, workClass, path);
    }
    String method = request.exchange().getRequestMethod().toString();
    request.setDigest(Digests.contentDigest(method, path, request.body()));
    chain.next(request);
  }

  private WorkClass findWorkClass(CallerRequest request) {
    FleetConfiguration configuration = configurationHolder.current();
    String name = request.header("X-Work-Class");
    return configuration
        .findWorkClass(name)
        .orElseThrow(
            () -> {
              TreeSet<String> validNames = new TreeSet<>();
              configuration.classes().forEach(c -> validNames.add(c.getName()));
              return Problems.unknownClass(name, validNames);
            });
  }

  private static void classifyModel(CallerRequest request, WorkClass workClass) {
    if (!request.exchange().getRequestMethod().toString().equals("POST")) {
      throw Problems.badMethod(request.exchange().getRequestMethod().toString());
    }
    ObjectNode json = parseModelRequest(request.body());
    String model = json.path("model").asText(workClass.getPool());
    if (workClass.getKind() != UpstreamKind.MODEL || !model.equals(workClass.getPool())) {
      throw Problems.unknownModel(model, workClass.getPool());
    }
    validateCostHint(request);
    request.setWorkClass(workClass, new PoolKey(UpstreamKind.MODEL, workClass.getPool()));
    request.setJson(json, json.path("stream").asBoolean(false));
  }

  private static ObjectNode parseModelRequest(byte[] body) {
    JsonNode node;
    try {
      node = JSON.readTree(body);
    } catch (JsonProcessingException e) {
      throw Problems.badJson(e.getOriginalMessage());
    } catch (IOException e) {
      throw Problems.badJson(e.getMessage());
    }
    if (!(node instanceof ObjectNode requestObject)) {
      throw Problems.badJson("it is not a JSON object");
    }
    boolean hasPrompt =
        requestObject.path("prompt").isTextual() || requestObject.path("messages").isArray();
    if (!hasPrompt) {
      throw Problems.badJson("it has neither a string 'prompt' nor an array 'messages'");
    }
    JsonNode maxTokens = requestObject.path("max_tokens");
    boolean isMaxTokensInvalid =
        !maxTokens.isMissingNode()
            && !(maxTokens.canConvertToInt()
                && maxTokens.asInt() > 0
                && maxTokens.asInt() <= MAX_TOKENS);
    if (isMaxTokensInvalid) {
      throw Problems.badJson("'max_tokens' is not an integer from 1 to " + MAX_TOKENS);
    }
    return requestObject;
  }

  private static void validateCostHint(CallerRequest request) {
    String costHint = request.header("X-Cost-Hint");
    if (!costHint.isEmpty() && !costHint.matches("[0-9]{1,9}")) {
      throw Problems.badHeader("X-Cost-Hint", "an integer number of tokens from 0 to 999999999");
    }
  }

  private static void classifyService(CallerRequest request, WorkClass workClass, String path) {
    if (!path.startsWith(SERVICE_PATH_PREFIX)) {
      throw Problems.unknownPath(path);
    }
    String remainingPath = path.substring(SERVICE_PATH_PREFIX.length());
    int slashIndex = remainingPath.indexOf('/');
    String service = slashIndex < 0 ? remainingPath : remainingPath.substring(0, slashIndex);
    boolean matchesWorkClass =
        workClass.getKind() == UpstreamKind.SERVICE && service.equals(workClass.getPool());
    if (!matchesWorkClass) {
      throw Problems.unknownService(service, workClass.getPool());
    }
    request.setWorkClass(workClass, new PoolKey(UpstreamKind.SERVICE, service));
  }
}
