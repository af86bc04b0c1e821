package org.toucansaddle.http.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.toucansaddle.http.MalformedResponseException;
import org.xnio.Buffers;

/** Finds the content of one response in the bytes of its connection. Not thread-safe. */
public interface ResponseBody {

  /** Returns a body with as many bytes. */
  static ResponseBody ofLength(long bytes) {
    return new LengthBody(bytes);
  }

  /** Returns a body that the end of the connection ends. */
  static ResponseBody untilConnectionEnd() {
    return new ConnectionBody();
  }

  /**
   * Moves content to another buffer until one of them is used up or the body ends.
   *
   * @throws MalformedResponseException if the bytes are not framed as declared
   */
  void transfer(ByteBuffer from, ByteBuffer to) throws MalformedResponseException;

  /** Returns whether the body is complete. */
  boolean isComplete();

  /**
   * Records that no more bytes follow.
   *
   * @throws IOException if the body is not complete without them
   */
  void endConnection() throws IOException;

  /** Moves as many bytes as both buffers have room for, up to a maximum; returns their number. */
  static int move(ByteBuffer from, ByteBuffer to, long maxBytes) {
    return Buffers.copy((int) Math.min(maxBytes, Integer.MAX_VALUE), to, from);
  }

  /** A body of known length. */
  final class LengthBody implements ResponseBody {
    private long missingBytes;

    private LengthBody(long bytes) {
      missingBytes = bytes;
    }

    @Override
    public void transfer(ByteBuffer from, ByteBuffer to) {
      missingBytes -= move(from, to, missingBytes);
    }

    @Override
    public boolean isComplete() {
      return missingBytes == 0;
    }

    @Override
    public void endConnection() throws IOException {
      if (missingBytes > 0) {
        throw new IOException(
            "the connection ended " + missingBytes + " bytes before the end of the body");
      }
    }
  }

  /** A body without a length. */
  final class ConnectionBody implements ResponseBody {
    private boolean complete;

    private ConnectionBody() {}

    @Override
    public void transfer(ByteBuffer from, ByteBuffer to) {
      move(from, to, Integer.MAX_VALUE);
    }

    @Override
    public boolean isComplete() {
      return complete;
    }

    @Override
    public void endConnection() {
      complete = true;
    }
  }
}
