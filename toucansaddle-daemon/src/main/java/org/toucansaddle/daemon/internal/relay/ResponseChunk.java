package org.toucansaddle.daemon.internal.relay;

/**
 * One event of a model response.
 *
 * <p>Immutable as long as no caller modifies {@code json} after construction.
 *
 * @param json the event's data as the upstream sent it, in UTF-8
 * @param text generated text, empty if the event carries none
 */
record ResponseChunk(byte[] json, String text) {

  /** Returns whether the chunk counts as a token. */
  boolean isToken() {
    return !text.isEmpty();
  }
}
