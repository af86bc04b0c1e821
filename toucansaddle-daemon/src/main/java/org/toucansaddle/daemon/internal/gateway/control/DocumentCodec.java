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
 * Compresses documents for the replicated log and for other daemons.
 *
 * <p>A document is sent across zones to every replica and router. Compression reduces it to about a
 * tenth of its size, so it is compressed once, by the daemon that receives it. Stateless and
 * thread-safe.
 */
public final class DocumentCodec {

  /** First byte of a compressed command; an uncompressed one begins with its version. */
  private static final byte COMPRESSED = 1;

  private static final int HEADER_BYTES = 1 + Long.BYTES + Integer.BYTES;

  /** Limit on the decompressed size; above the size of the largest document accepted. */
  private static final int MAX_DOCUMENT_BYTES = 64 << 20;

  private DocumentCodec() {}

  /** Encodes a document as a message to another daemon. */
  public static StoredDocumentMessage encode(StoredDocument document) {
    return StoredDocumentMessage.newBuilder()
        .setVersion(document.version())
        .setContent(ByteString.copyFrom(compress(document.content())))
        .setLength(document.content().length)
        .build();
  }

  /**
   * Decodes a message of another daemon.
   *
   * @throws IllegalArgumentException if the message is truncated, corrupt or too long
   */
  public static StoredDocument decode(StoredDocumentMessage message) {
    byte[] content = decompress(message.getContent().toByteArray(), message.getLength());
    return new StoredDocument(message.getVersion(), content);
  }

  /** Encodes a document as a command of the replicated log. */
  static byte[] toCommand(StoredDocument document) {
    byte[] compressed = compress(document.content());
    return ByteBuffer.allocate(HEADER_BYTES + compressed.length)
        .put(COMPRESSED)
        .putLong(document.version())
        .putInt(document.content().length)
        .put(compressed)
        .array();
  }

  /** Decodes a command of the replicated log, compressed or not. */
  static StoredDocument fromCommand(byte[] command) {
    ByteBuffer in = ByteBuffer.wrap(command);
    if (command[0] != COMPRESSED) {
      return new StoredDocument(in.getLong(), Arrays.copyOfRange(command, 8, command.length));
    }
    in.get();
    long version = in.getLong();
    int length = in.getInt();
    byte[] compressed = Arrays.copyOfRange(command, HEADER_BYTES, command.length);
    return new StoredDocument(version, decompress(compressed, length));
  }

  private static byte[] compress(byte[] content) {
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

  private static byte[] decompress(byte[] compressed, int length) {
    if (length < 0 || length > MAX_DOCUMENT_BYTES) {
      throw new IllegalArgumentException(
          "Document length of " + length + " bytes is negative or too long.");
    }
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(compressed);
      byte[] content = new byte[length];
      int size = 0;
      while (size < length) {
        int count = inflater.inflate(content, size, length - size);
        if (count == 0) {
          throw new IllegalArgumentException("The compressed document is truncated.");
        }
        size += count;
      }
      return content;
    } catch (DataFormatException e) {
      throw new IllegalArgumentException("The compressed document is corrupt.", e);
    } finally {
      inflater.end();
    }
  }
}
