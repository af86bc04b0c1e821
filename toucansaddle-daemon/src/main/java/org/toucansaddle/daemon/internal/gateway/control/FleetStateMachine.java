package org.toucansaddle.daemon.internal.gateway.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;
import org.toucansaddle.coordination.replication.StateMachine;
import org.toucansaddle.coordination.zones.ZoneOrder;
import org.toucansaddle.coordination.zones.ZoneOrders;

/**
 * Replicated state of a gateway: the configuration document and the zones out of service.
 *
 * <p>A command of zones begins with {@link #ZONE_ORDER}; all others are those of {@link
 * DocumentStateMachine}. A snapshot is that of the document, followed by the zones and {@link
 * #ZONES_TRAILER} once there was an order. Versions that know no zones read such a command as a
 * document of version 0, which changes nothing, and of such a snapshot the document alone.
 * Deterministic. Not thread-safe: all calls are made on the replica's thread, which also passes
 * each change to the consumer.
 */
public final class FleetStateMachine implements StateMachine {

  /** Begin of a command with a zone order: that of a document of version 0, and a number. */
  private static final byte[] ZONE_ORDER = {0, 0, 0, 0, 0, 0, 0, 0, 2};

  /** End of a snapshot with zones; before it stand the zones and their length. */
  private static final byte[] ZONES_TRAILER = "\0ZONES\0\1".getBytes(StandardCharsets.US_ASCII);

  private static final int TRAILER_BYTES = Integer.BYTES + ZONES_TRAILER.length;

  private final DocumentStateMachine documents;
  private final Consumer<ZoneOrders> onZones;
  private ZoneOrders zones = ZoneOrders.none();

  /** Creates the initial state, without zones out of service. */
  public FleetStateMachine(DocumentStateMachine documents, Consumer<ZoneOrders> onZones) {
    this.documents = documents;
    this.onZones = onZones;
  }

  /** Returns the command for an order; its result is the state after it. */
  static byte[] command(ZoneOrder order) {
    byte[] encoded = order.encode();
    return ByteBuffer.allocate(ZONE_ORDER.length + encoded.length)
        .put(ZONE_ORDER)
        .put(encoded)
        .array();
  }

  @Override
  public byte[] apply(long index, byte[] command) {
    int begin = ZONE_ORDER.length;
    if (command.length < begin || !Arrays.equals(command, 0, begin, ZONE_ORDER, 0, begin)) {
      return documents.apply(index, command);
    }
    replace(zones.apply(ZoneOrder.decode(Arrays.copyOfRange(command, begin, command.length))));
    return ZoneOrdersCodec.encode(zones).toByteArray();
  }

  private void replace(ZoneOrders changed) {
    if (changed.revision() != zones.revision()) {
      zones = changed;
      onZones.accept(changed);
    }
  }

  @Override
  public byte[] snapshot() {
    byte[] document = documents.snapshot();
    if (zones.revision() == 0) {
      return document;
    }
    byte[] encoded = ZoneOrdersCodec.encode(zones).toByteArray();
    return ByteBuffer.allocate(document.length + encoded.length + TRAILER_BYTES)
        .put(document)
        .put(encoded)
        .putInt(encoded.length)
        .put(ZONES_TRAILER)
        .array();
  }

  @Override
  public void restore(byte[] state) {
    int end = state.length - TRAILER_BYTES;
    if (end < 0 || !hasTrailer(state)) {
      zones = ZoneOrders.none();
      documents.restore(state);
      return;
    }
    int begin = end - ByteBuffer.wrap(state).getInt(end);
    if (begin < 0 || begin > end) {
      throw new IllegalArgumentException("The length of the zones of a snapshot is corrupt.");
    }
    try {
      replace(ZoneOrdersCodec.parse(Arrays.copyOfRange(state, begin, end)));
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("The zones of a snapshot are corrupt.", e);
    }
    documents.restore(Arrays.copyOf(state, begin));
  }

  private static boolean hasTrailer(byte[] state) {
    int from = state.length - ZONES_TRAILER.length;
    return Arrays.equals(state, from, state.length, ZONES_TRAILER, 0, ZONES_TRAILER.length);
  }
}
