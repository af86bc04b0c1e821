package org.toucansaddle.daemon.internal.sharing;

import java.util.Optional;
import org.toucansaddle.protocol.generated.UpstreamKind;

/**
 * Upstreams that can stand in for each other. Immutable.
 *
 * @param kind whether they serve a model or are a plain service
 * @param name name of the model or service
 */
public record PoolKey(UpstreamKind kind, String name) {

  private static final String MODEL_PREFIX = "model/";
  private static final String SERVICE_PREFIX = "service/";

  /** Returns the key as text, unique over kinds. */
  public String text() {
    return (kind == UpstreamKind.MODEL ? MODEL_PREFIX : SERVICE_PREFIX) + name;
  }

  /** Returns the name of the model in a key's text, if the key is one of a model. */
  public static Optional<String> modelName(String text) {
    return text.startsWith(MODEL_PREFIX)
        ? Optional.of(text.substring(MODEL_PREFIX.length()))
        : Optional.empty();
  }
}
