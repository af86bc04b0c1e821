package org.toucansaddle.coordination.example;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.testng.annotations.Test;

/** The example of the library's use runs. */
public class PrintShopTest {

  private static final int HEAVY_ACCOUNT = 1;
  private static final int LIGHT_ACCOUNT = 2;

  @Test
  public void shouldSharePrintersBetweenBothDesks() {
    PrintShop hall = new PrintShop(4, Set.of("north", "south"));
    for (int i = 0; i < 1_000; i++) {
      hall.submit("north", new PrintShop.Job(HEAVY_ACCOUNT, "catalogue " + i));
    }
    for (int i = 0; i < 100; i++) {
      hall.submit("south", new PrintShop.Job(LIGHT_ACCOUNT, "letter " + i));
    }
    for (int step = 0; step < 60; step++) {
      hall.step();
    }
    assertThat(hall.pagesPrinted(LIGHT_ACCOUNT)).isEqualTo(100);
    assertThat(hall.pagesPrinted(HEAVY_ACCOUNT)).isGreaterThan(0);
  }
}
