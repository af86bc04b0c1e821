package org.toucansaddle.daemon.internal.relay;

/**
 * One event of an upstream's answer.
 *
 * <p>Immutable by agreement: nobody changes {@code json} after construction.
 *
 * @param json the event's data as the upstream sent it, in UTF-8
 * @param text its text, empty if it carries none
 */
record ResponseChunk(byte[] json, String text) {

  /** Returns whether the part counts as a token. */
  boolean isToken() {
    return !text.isEmpty();
  }
}
