package org.toucansaddle.daemon.internal.relay;

/**
 * Token counts of a model response, as reported by the upstream. Immutable.
 *
 * @param promptTokens number of prompt tokens
 * @param completionTokens number of generated tokens
 * @param finishReason why generation stopped
 */
record TokenUsage(int promptTokens, int completionTokens, String finishReason) {

  /** Returns the sum of prompt and completion tokens. */
  int totalTokens() {
    return promptTokens + completionTokens;
  }
}
