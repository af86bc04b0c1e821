package org.toucansaddle.http;

import java.nio.ByteBuffer;
import java.util.Map;

/**
 * Receives one streamed response.
 *
 * <p>Methods are called by one thread, in order: {@code onHead}, any number of {@code onData}, then
 * exactly one of {@code onEnd} and {@code onFailure}. {@code onFailure} may also be the first call.
 * Implementations must not block.
 */
public interface HttpStreamHandler {

  /** Called with the status and the values of each header field, joined by commas. */
  void onHead(int status, Map<String, String> headers);

  /** Called with a part of the content; the buffer is only valid during the call. */
  void onData(ByteBuffer data);

  /** Called when the response is complete. */
  void onEnd();

  /** Called when the response cannot be completed. */
  void onFailure(HttpException failure);
}
