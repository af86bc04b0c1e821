package org.toucansaddle.daemon.internal.gateway.control;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.toucansaddle.daemon.gateway.StoredDocument;
import org.toucansaddle.protocol.generated.StoredDocumentMessage;

/**
 * Packs documents for the replicated log and for other daemons.
 *
 * <p>A document crosses zones to every replica and router, and shrinks to a tenth, so it is
 * compressed once where it arrives. Stateless and thread-safe.
 */
public final class DocumentCodec {

  /** First byte of a packed command; one that holds plain content begins with its version. */
  private static final byte PACKED = 1;

  private static final int HEAD_BYTES = 1 + Long.BYTES + Integer.BYTES;

  /** Bound of what a message may unpack to, in bytes; above the longest document taken. */
  private static final int MAX_BYTES = 64 << 20;

  private DocumentCodec() {}

  /** Encodes a document for another daemon. */
  public static StoredDocumentMessage encode(StoredDocument document) {
    return StoredDocumentMessage.newBuilder()
        .setVersion(document.version())
        .setContent(ByteString.copyFrom(pack(document.content())))
        .setLength(document.content().length)
        .build();
  }

  /** Decodes a document of another daemon. */
  public static StoredDocument decode(StoredDocumentMessage message) {
    byte[] content = unpack(message.getContent().toByteArray(), message.getLength());
    return new StoredDocument(message.getVersion(), content);
  }

  /** Encodes a document as a command of the log. */
  static byte[] toCommand(StoredDocument document) {
    byte[] packed = pack(document.content());
    return ByteBuffer.allocate(HEAD_BYTES + packed.length)
        .put(PACKED)
        .putLong(document.version())
        .putInt(document.content().length)
        .put(packed)
        .array();
  }

  /** Decodes a command of the log, packed or plain. */
  static StoredDocument fromCommand(byte[] command) {
    ByteBuffer in = ByteBuffer.wrap(command);
    if (command[0] != PACKED) {
      return new StoredDocument(in.getLong(), Arrays.copyOfRange(command, 8, command.length));
    }
    in.get();
    long version = in.getLong();
    int length = in.getInt();
    byte[] packed = Arrays.copyOfRange(command, HEAD_BYTES, command.length);
    return new StoredDocument(version, unpack(packed, length));
  }

  private static byte[] pack(byte[] content) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(content);
      deflater.finish();
      byte[] out = new byte[Math.max(64, content.length / 4)];
      int size = 0;
      while (!deflater.finished()) {
        if (size == out.length) {
          out = Arrays.copyOf(out, 2 * size);
        }
        size += deflater.deflate(out, size, out.length - size);
      }
      return Arrays.copyOf(out, size);
    } finally {
      deflater.end();
    }
  }

  private static byte[] unpack(byte[] packed, int length) {
    if (length < 0 || length > MAX_BYTES) {
      throw new IllegalArgumentException("A document of " + length + " bytes is too long.");
    }
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(packed);
      byte[] content = new byte[length];
      int size = 0;
      while (size < length) {
        int count = inflater.inflate(content, size, length - size);
        if (count == 0) {
          throw new IllegalArgumentException("A packed document is cut short.");
        }
        size += count;
      }
      return content;
    } catch (DataFormatException e) {
      throw new IllegalArgumentException("A packed document cannot be read.", e);
    } finally {
      inflater.end();
    }
  }
}
