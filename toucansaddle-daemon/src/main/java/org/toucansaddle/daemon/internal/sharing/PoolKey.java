package org.toucansaddle.daemon.internal.sharing;

import org.toucansaddle.protocol.generated.UpstreamKind;

/**
 * Upstreams that can stand in for each other. Immutable.
 *
 * @param kind whether they serve a model or are a plain service
 * @param name name of the model or service
 */
public record PoolKey(UpstreamKind kind, String name) {

  /** Returns the key as text, unique over kinds. */
  public String text() {
    return (kind == UpstreamKind.MODEL ? "model/" : "service/") + name;
  }
}
