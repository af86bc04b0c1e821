package org.toucansaddle.coordination.zones;

import java.util.Map;
import java.util.Optional;

/**
 * Region of each availability zone. Immutable.
 *
 * @param regionByZone names of the regions by the names of their zones
 */
public record ZoneRegions(Map<String, String> regionByZone) {

  private static final ZoneRegions NONE = new ZoneRegions(Map.of());

  /** Copies the map. */
  public ZoneRegions {
    regionByZone = Map.copyOf(regionByZone);
  }

  /** Returns an object that knows the region of no zone. */
  public static ZoneRegions none() {
    return NONE;
  }

  /** Returns the region of a zone; empty if it is not known. */
  public Optional<String> regionOf(String zone) {
    return Optional.ofNullable(regionByZone.get(zone));
  }
}
