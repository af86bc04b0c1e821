package org.toucansaddle.daemon.internal.gateway.relay;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.toucansaddle.http.ResponseFraming;

/**
 * Content of a response on its way from upstreams to the caller, which knows where it may end.
 *
 * <p>Confined to the call's I/O thread.
 */
interface ResponseContent {

  /** Content without a known structure, which may end anywhere. */
  ResponseContent OPAQUE =
      new ResponseContent() {
        @Override
        public ByteBuffer accept(ByteBuffer data) {
          return data;
        }

        @Override
        public Optional<String> findTruncation(ResponseFraming framing) {
          return Optional.empty();
        }
      };

  /** Consumes bytes of an upstream and returns those that are forwarded now. */
  ByteBuffer accept(ByteBuffer data);

  /** Returns why content that ends here is incomplete; empty if it may be complete. */
  Optional<String> findTruncation(ResponseFraming framing);

  /** Returns the number of bytes that wait for the rest of an event. */
  default int heldBytes() {
    return 0;
  }

  /** Returns bytes that are only forwarded when the content is complete. */
  default ByteBuffer drain() {
    return ByteBuffer.allocate(0);
  }
}
