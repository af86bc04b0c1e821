package org.toucansaddle.daemon.internal.relay;

/**
 * What an answer cost, as the upstream counted. Immutable.
 *
 * @param promptTokens tokens of the prompt
 * @param completionTokens tokens of the answer
 * @param finishReason why the answer ended
 */
record TokenUsage(int promptTokens, int completionTokens, String finishReason) {

  /** Returns the cost in tokens. */
  int totalTokens() {
    return promptTokens + completionTokens;
  }
}
