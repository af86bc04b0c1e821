package org.toucansaddle.daemon.internal.sharing;

import java.util.Optional;
import org.toucansaddle.protocol.generated.UpstreamKind;

/**
 * Identifies a pool: a set of interchangeable upstreams. Immutable.
 *
 * @param kind whether the upstreams serve a model or a plain service
 * @param name name of the model or service
 */
public record PoolKey(UpstreamKind kind, String name) {

  private static final String MODEL_PREFIX = "model/";
  private static final String SERVICE_PREFIX = "service/";

  /** Returns the key as text, which differs between kinds even if the name is the same. */
  public String text() {
    return (kind == UpstreamKind.MODEL ? MODEL_PREFIX : SERVICE_PREFIX) + name;
  }

  /** Returns the model name in the text of a key, or nothing if the pool serves no model. */
  public static Optional<String> modelName(String text) {
    return text.startsWith(MODEL_PREFIX)
        ? Optional.of(text.substring(MODEL_PREFIX.length()))
        : Optional.empty();
  }
}
