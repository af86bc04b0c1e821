package org.toucansaddle.coordination.zones;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Order to take an availability zone out of service or back. Immutable.
 *
 * @param zone name of the zone, of 1 to {@link #MAX_NAME_BYTES} bytes in UTF-8
 * @param outOfService whether nothing may be sent to its upstreams
 */
public record ZoneOrder(String zone, boolean outOfService) {

  /** Longest name of a zone, in bytes. */
  public static final int MAX_NAME_BYTES = 255;

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if it is empty or too long
   */
  public ZoneOrder {
    int bytes = zone.getBytes(StandardCharsets.UTF_8).length;
    if (bytes == 0 || bytes > MAX_NAME_BYTES) {
      throw new IllegalArgumentException(
          "zone name of %d bytes; it must have 1 to %d".formatted(bytes, MAX_NAME_BYTES));
    }
  }

  /** Encodes the order. */
  public byte[] encode() {
    byte[] name = zone.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(1 + name.length)
        .put((byte) (outOfService ? 1 : 0))
        .put(name)
        .array();
  }

  /**
   * Decodes an order.
   *
   * @throws IllegalArgumentException if the bytes are no order
   */
  public static ZoneOrder decode(byte[] bytes) {
    if (bytes.length == 0) {
      throw new IllegalArgumentException("a zone order of 0 bytes; it must have at least 2");
    }
    String zone = new String(bytes, 1, bytes.length - 1, StandardCharsets.UTF_8);
    return new ZoneOrder(zone, bytes[0] == 1);
  }
}
