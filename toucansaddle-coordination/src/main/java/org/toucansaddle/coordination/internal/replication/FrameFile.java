package org.toucansaddle.coordination.internal.replication;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * A file of checksummed frames: body length, CRC-32C of the body, body.
 *
 * <p>A tail that a crash truncated or left filled with zeros is removed when the file is read. A
 * complete frame that fails its checksum is reported as corruption, because it may hold synced
 * data. Not thread-safe.
 */
final class FrameFile implements AutoCloseable {

  private static final int HEADER_BYTES = 8;
  private static final int MAX_BODY_BYTES = 256 * 1024 * 1024;

  private final Path path;
  private final FileChannel channel;

  private FrameFile(Path path, FileChannel channel) {
    this.path = path;
    this.channel = channel;
  }

  /** Opens a file, creating it if it is missing. */
  static FrameFile open(Path path) throws IOException {
    FileChannel channel =
        FileChannel.open(
            path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    return new FrameFile(path, channel);
  }

  /** Passes the body of each complete frame to the consumer and removes a torn tail. */
  void readAll(Consumer<ByteBuffer> onFrame) throws IOException {
    long position = 0;
    long size = channel.size();
    while (position < size) {
      ByteBuffer body = readFrame(position, size);
      if (body == null) {
        channel.truncate(position);
        break;
      }
      position += HEADER_BYTES + body.remaining();
      onFrame.accept(body);
    }
    channel.position(channel.size());
  }

  /** Returns the body of a frame, or null if a torn tail starts at {@code position}. */
  private ByteBuffer readFrame(long position, long size) throws IOException {
    if (size - position < HEADER_BYTES) {
      return null;
    }
    ByteBuffer header = readFully(position, HEADER_BYTES);
    int length = header.getInt();
    int checksum = header.getInt();
    if (length == 0 && checksum == 0 && isZeroFrom(position, size)) {
      return null;
    }
    if (length <= 0 || length > MAX_BODY_BYTES) {
      throw StorageErrors.corruptFrame(path, position);
    }
    if (size - position - HEADER_BYTES < length) {
      return null;
    }
    ByteBuffer body = readFully(position + HEADER_BYTES, length);
    if (checksum(body) != checksum) {
      if (isZeroFrom(position + HEADER_BYTES, size)) {
        return null;
      }
      throw StorageErrors.corruptFrame(path, position);
    }
    return body;
  }

  private ByteBuffer readFully(long position, int length) throws IOException {
    ByteBuffer buffer = ByteBuffer.allocate(length);
    while (buffer.hasRemaining()) {
      if (channel.read(buffer, position + buffer.position()) < 0) {
        throw new IOException("unexpected end of file while reading " + path);
      }
    }
    return buffer.flip();
  }

  private boolean isZeroFrom(long position, long size) throws IOException {
    ByteBuffer remaining = readFully(position, (int) Math.min(size - position, MAX_BODY_BYTES));
    while (remaining.hasRemaining()) {
      if (remaining.get() != 0) {
        return false;
      }
    }
    return true;
  }

  /** Appends one frame; durable after {@link #sync}. */
  void append(byte[] body) throws IOException {
    ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + body.length);
    frame.putInt(body.length);
    frame.putInt(checksum(ByteBuffer.wrap(body)));
    frame.put(body);
    frame.flip();
    while (frame.hasRemaining()) {
      channel.write(frame);
    }
  }

  /** Makes all appended frames durable. */
  void sync() throws IOException {
    channel.force(false);
  }

  long size() throws IOException {
    return channel.size();
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }

  private static int checksum(ByteBuffer body) {
    CRC32C crc = new CRC32C();
    crc.update(body.duplicate());
    return (int) crc.getValue();
  }
}
