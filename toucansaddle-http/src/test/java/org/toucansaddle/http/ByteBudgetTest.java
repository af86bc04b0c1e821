package org.toucansaddle.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** Tests of {@link ByteBudget}. */
public class ByteBudgetTest {

  private final ByteBudget budget = new ByteBudget(100);

  @Test
  public void shouldHoldNoMoreThanMaximumForSeveralCallers() {
    try (ByteBudget.Holding first = budget.open();
        ByteBudget.Holding second = budget.open()) {
      assertThat(first.grow(60)).isTrue();
      assertThat(second.grow(40)).isTrue();
      assertThat(second.grow(1)).isFalse();
      assertThat(budget.heldBytes()).isEqualTo(100);
      first.close();
      first.close();
      assertThat(second.grow(1)).isTrue();
      assertThat(budget.heldBytes()).isEqualTo(41);
    }
    assertThat(budget.heldBytes()).isZero();
  }

  /** Guards against bytes of a caller that left, which would be counted for ever. */
  @Test
  public void shouldCountNothingForClosedHolding() {
    ByteBudget.Holding left = budget.open();
    assertThat(left.grow(60)).isTrue();
    left.close();
    left.grow(60);
    assertThat(budget.heldBytes()).isZero();
  }

  /** Guards against a body within the limit of the document that no router can ever read. */
  @Test
  public void shouldAdmitSingleHoldingAboveMaximum() {
    try (ByteBudget.Holding single = budget.open();
        ByteBudget.Holding other = budget.open()) {
      assertThat(single.grow(90)).isTrue();
      assertThat(single.grow(90)).isTrue();
      assertThat(other.grow(1)).isFalse();
    }
  }
}
