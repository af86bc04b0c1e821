package org.toucansaddle.coordination.example;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.testng.annotations.Test;

/** The example of the library's use runs. */
public class PrinterHallTest {

  private static final int FLOOD = 1;
  private static final int TRICKLE = 2;

  @Test
  public void shouldShareThePrintersOverBothDesks() {
    PrinterHall hall = new PrinterHall(4, Set.of("north", "south"));
    for (int i = 0; i < 1_000; i++) {
      hall.handIn("north", new PrinterHall.Job(FLOOD, "catalogue " + i));
    }
    for (int i = 0; i < 100; i++) {
      hall.handIn("south", new PrinterHall.Job(TRICKLE, "letter " + i));
    }
    for (int step = 0; step < 60; step++) {
      hall.step();
    }
    assertThat(hall.printed(TRICKLE)).isEqualTo(100);
    assertThat(hall.printed(FLOOD)).isGreaterThan(0);
  }
}
