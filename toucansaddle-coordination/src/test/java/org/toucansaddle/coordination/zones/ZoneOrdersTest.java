package org.toucansaddle.coordination.zones;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ZoneOrders} and {@link ZoneOrder}. */
public class ZoneOrdersTest {

  private static ZoneOrders after(ZoneOrder... orders) {
    ZoneOrders state = ZoneOrders.none();
    for (ZoneOrder order : orders) {
      state = state.apply(order);
    }
    return state;
  }

  private static ZoneOrder out(String zone) {
    return new ZoneOrder(zone, true);
  }

  private static ZoneOrder in(String zone) {
    return new ZoneOrder(zone, false);
  }

  @DataProvider
  public Object[][] sequences() {
    return new Object[][] {
      {new ZoneOrder[] {}, 0, Set.of()},
      {new ZoneOrder[] {out("a")}, 1, Set.of("a")},
      {new ZoneOrder[] {out("a"), out("a")}, 1, Set.of("a")},
      {new ZoneOrder[] {out("a"), out("b")}, 2, Set.of("a", "b")},
      {new ZoneOrder[] {out("a"), out("b"), in("a")}, 3, Set.of("b")},
      {new ZoneOrder[] {in("a")}, 0, Set.of()},
      {new ZoneOrder[] {out("a"), in("a"), in("a"), out("a")}, 3, Set.of("a")},
    };
  }

  @Test(dataProvider = "sequences")
  public void shouldApplyOrdersInTurn(ZoneOrder[] orders, long revision, Set<String> outOfService) {
    assertThat(after(orders)).isEqualTo(new ZoneOrders(revision, outOfService));
  }

  // Names are free, so that a program that makes them up would fill log, memory and messages.
  @Test
  public void shouldRefuseZoneBeyondMaximumUntilOneIsBack() {
    ZoneOrders full = ZoneOrders.none();
    for (int i = 0; i < ZoneOrders.MAX_OUT_OF_SERVICE; i++) {
      full = full.apply(out("z" + i));
    }
    assertThat(full.apply(out("more"))).isSameAs(full);
    assertThat(full.includes(out("more"))).isFalse();
    assertThat(full.includes(out("z7"))).isTrue();
    ZoneOrders later = full.apply(in("z7")).apply(out("more"));
    assertThat(later.includes(out("more"))).isTrue();
    assertThat(later.outOfService()).hasSize(ZoneOrders.MAX_OUT_OF_SERVICE);
  }

  @DataProvider
  public Object[][] zoneNames() {
    return new Object[][] {{"a"}, {"zóna-š"}, {"x".repeat(255)}};
  }

  @Test(dataProvider = "zoneNames")
  public void shouldDecodeWhatWasEncoded(String zone) {
    assertThat(ZoneOrder.decode(out(zone).encode())).isEqualTo(out(zone));
    assertThat(ZoneOrder.decode(in(zone).encode())).isEqualTo(in(zone));
  }

  @DataProvider
  public Object[][] invalidNames() {
    return new Object[][] {{""}, {"x".repeat(256)}, {"š".repeat(128)}};
  }

  @Test(dataProvider = "invalidNames")
  public void shouldRejectNameThatIsEmptyOrTooLong(String zone) {
    assertThatThrownBy(() -> out(zone))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("must have 1 to 255");
  }

  @Test
  public void shouldRejectEmptyEncoding() {
    assertThatThrownBy(() -> ZoneOrder.decode(new byte[0]))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
