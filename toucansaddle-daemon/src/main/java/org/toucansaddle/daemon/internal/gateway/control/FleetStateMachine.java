package org.toucansaddle.daemon.internal.gateway.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;
import org.toucansaddle.coordination.replication.StateMachine;
import org.toucansaddle.coordination.zones.ZoneOrder;
import org.toucansaddle.coordination.zones.ZoneOrders;

/**
 * Replicated state of a gateway: the configuration document and the zones out of service.
 *
 * <p>A command of zones begins with {@link #ZONE_ORDER}; all others are those of {@link
 * DocumentStateMachine}. Before the first order a snapshot is that of the document alone, as
 * versions wrote it that know no zones. Deterministic. Not thread-safe: all calls are made on the
 * replica's thread, which also passes each change to the consumer.
 */
public final class FleetStateMachine implements StateMachine {

  /** First byte of a command with a zone order. */
  private static final byte ZONE_ORDER = 2;

  /** First byte of a snapshot with zones. */
  private static final byte WITH_ZONES = 3;

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
    return ByteBuffer.allocate(1 + encoded.length).put(ZONE_ORDER).put(encoded).array();
  }

  @Override
  public byte[] apply(long index, byte[] command) {
    if (command.length == 0 || command[0] != ZONE_ORDER) {
      return documents.apply(index, command);
    }
    replace(zones.apply(ZoneOrder.decode(Arrays.copyOfRange(command, 1, command.length))));
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
    return ByteBuffer.allocate(1 + Integer.BYTES + encoded.length + document.length)
        .put(WITH_ZONES)
        .putInt(encoded.length)
        .put(encoded)
        .put(document)
        .array();
  }

  @Override
  public void restore(byte[] state) {
    if (state.length == 0 || state[0] != WITH_ZONES) {
      zones = ZoneOrders.none();
      documents.restore(state);
      return;
    }
    ByteBuffer in = ByteBuffer.wrap(state);
    in.get();
    byte[] encoded = new byte[in.getInt()];
    in.get(encoded);
    byte[] document = new byte[in.remaining()];
    in.get(document);
    try {
      replace(ZoneOrdersCodec.parse(encoded));
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("The zones of a snapshot are corrupt.", e);
    }
    documents.restore(document);
  }
}
