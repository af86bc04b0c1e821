package org.toucansaddle.coordination.zones;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link AllowedRegions} and {@link ZoneRegions}. */
public class AllowedRegionsTest {

  private static final ZoneRegions REGIONS = new ZoneRegions(Map.of("za", "east", "zb", "west"));
  private static final AllowedRegions ANY = AllowedRegions.any();
  private static final AllowedRegions EAST = AllowedRegions.of(List.of("east"));
  private static final AllowedRegions BOTH = AllowedRegions.of(List.of("east", "west"));

  @DataProvider
  public Object[][] restrictions() {
    return new Object[][] {
      // {of the route, of the account, zone, allowed}
      {ANY, ANY, "za", true},
      {ANY, ANY, "a zone of an unknown region", true},
      {EAST, ANY, "za", true},
      {EAST, ANY, "zb", false},
      {ANY, EAST, "zb", false},
      {BOTH, EAST, "za", true},
      {BOTH, EAST, "zb", false},
      {BOTH, ANY, "a zone of an unknown region", false},
      {EAST, AllowedRegions.of(List.of("west")), "za", false},
      {EAST, AllowedRegions.of(List.of("west")), "zb", false},
      {AllowedRegions.of(List.of("nowhere")), ANY, "za", false},
      {AllowedRegions.of(List.of()), ANY, "za", false},
    };
  }

  @Test(dataProvider = "restrictions")
  public void shouldAllowWhatRouteAndAccountAllow(
      AllowedRegions route, AllowedRegions account, String zone, boolean allowed) {
    Optional<String> region = REGIONS.regionOf(zone);
    assertThat(route.and(account).include(region)).isEqualTo(allowed);
    assertThat(account.and(route).include(region)).isEqualTo(allowed);
  }
}
