package org.toucansaddle.coordination.example;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.testng.annotations.Test;

/** Runs the print shop example. */
public class PrintShopTest {

  private static final int HEAVY_ACCOUNT = 1;
  private static final int LIGHT_ACCOUNT = 2;

  @Test
  public void shouldSharePrintersBetweenBothDesks() {
    PrintShop shop = new PrintShop(4, Set.of("north", "south"));
    for (int i = 0; i < 1_000; i++) {
      shop.submit("north", new PrintShop.Job(HEAVY_ACCOUNT, "catalogue " + i));
    }
    for (int i = 0; i < 100; i++) {
      shop.submit("south", new PrintShop.Job(LIGHT_ACCOUNT, "letter " + i));
    }
    for (int step = 0; step < 60; step++) {
      shop.step();
    }
    assertThat(shop.pagesPrinted(LIGHT_ACCOUNT)).isEqualTo(100);
    assertThat(shop.pagesPrinted(HEAVY_ACCOUNT)).isGreaterThan(0);
  }
}
