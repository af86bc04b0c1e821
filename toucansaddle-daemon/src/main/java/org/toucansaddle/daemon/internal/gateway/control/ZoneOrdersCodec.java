package org.toucansaddle.daemon.internal.gateway.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Set;
import org.toucansaddle.coordination.zones.ZoneOrders;
import org.toucansaddle.protocol.generated.ZoneOrders.Builder;

/** Encodes zones out of service. Stateless and thread-safe. */
public final class ZoneOrdersCodec {

  private ZoneOrdersCodec() {}

  /** Encodes a state. */
  public static org.toucansaddle.protocol.generated.ZoneOrders encode(ZoneOrders zones) {
    Builder message =
        org.toucansaddle.protocol.generated.ZoneOrders.newBuilder().setRevision(zones.revision());
    zones.outOfService().stream().sorted().forEach(message::addOutOfService);
    return message.build();
  }

  /** Decodes a state. */
  public static ZoneOrders decode(org.toucansaddle.protocol.generated.ZoneOrders message) {
    return new ZoneOrders(message.getRevision(), Set.copyOf(message.getOutOfServiceList()));
  }

  static ZoneOrders parse(byte[] bytes) throws InvalidProtocolBufferException {
    return decode(org.toucansaddle.protocol.generated.ZoneOrders.parseFrom(bytes));
  }
}
