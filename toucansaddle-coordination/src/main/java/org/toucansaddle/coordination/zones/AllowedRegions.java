package org.toucansaddle.coordination.zones;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Regions in which requests may be served. Immutable.
 *
 * <pre>{@code
 * AllowedRegions both = route.regions().and(account.regions());
 * boolean isAllowed = both.include(zoneRegions.regionOf("zone-a"));
 * }</pre>
 *
 * @param names names of the regions; empty if there is no restriction
 */
public record AllowedRegions(Optional<Set<String>> names) {

  private static final AllowedRegions ANY = new AllowedRegions(Optional.empty());

  /** Copies the names. */
  public AllowedRegions {
    names = names.map(Set::copyOf);
  }

  /** Returns all regions, also those that nobody knows yet. */
  public static AllowedRegions any() {
    return ANY;
  }

  /** Returns the regions of these names; without a name, none. */
  public static AllowedRegions of(Collection<String> names) {
    return new AllowedRegions(Optional.of(Set.copyOf(names)));
  }

  /** Returns whether some regions are left out. */
  public boolean isRestricted() {
    return names.isPresent();
  }

  /** Returns the regions that are allowed by both. */
  public AllowedRegions and(AllowedRegions other) {
    if (!isRestricted() || !other.isRestricted()) {
      return isRestricted() ? this : other;
    }
    Set<String> both = new TreeSet<>(names.get());
    both.retainAll(other.names.get());
    return of(both);
  }

  /**
   * Returns whether requests may be served in a region.
   *
   * @param region name of the region; empty if it is not known, which only no restriction allows
   */
  public boolean include(Optional<String> region) {
    return names.isEmpty() || region.map(names.get()::contains).orElse(false);
  }
}
