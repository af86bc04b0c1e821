package org.toucansaddle.daemon.internal.gateway.control;

import org.toucansaddle.coordination.zones.ZoneOrders;
import org.toucansaddle.daemon.gateway.StoredDocument;

/**
 * Replicated state of a gateway at one moment. Immutable.
 *
 * @param document configuration document
 * @param zones zones out of service
 */
public record FleetState(StoredDocument document, ZoneOrders zones) {

  /** Returns the state of a gateway without a document or an order. */
  public static FleetState none() {
    return new FleetState(StoredDocument.none(), ZoneOrders.none());
  }

  /** Returns a copy with another document. */
  public FleetState withDocument(StoredDocument other) {
    return new FleetState(other, zones);
  }

  /** Returns a copy with other zones. */
  public FleetState withZones(ZoneOrders other) {
    return new FleetState(document, other);
  }
}
