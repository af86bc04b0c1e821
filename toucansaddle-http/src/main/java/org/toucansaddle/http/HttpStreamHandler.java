package org.toucansaddle.http;

import java.nio.ByteBuffer;
import java.util.Map;

/**
 * Receives one streamed answer.
 *
 * <p>Calls come from one thread, in order: {@code onHead}, any number of {@code onData}, then
 * exactly one of {@code onEnd} and {@code onFailure}; a failure may come first. Must not block.
 */
public interface HttpStreamHandler {

  /** Called with the status and the first value of each header field. */
  void onHead(int status, Map<String, String> headers);

  /** Called with content; the buffer is valid during the call only. */
  void onData(ByteBuffer data);

  /** Called when the answer ended as HTTP says it should. */
  void onEnd();

  /** Called when the answer cannot be completed. */
  void onFailure(HttpException failure);
}
