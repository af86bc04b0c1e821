package org.toucansaddle.daemon.internal.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Arrays;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.protocol.generated.ServiceDemand;
import org.toucansaddle.protocol.generated.ServicePart;

/** Tests of {@link LimitParts}. */
public class LimitPartsTest {

  private static List<ServiceDemand> demand(double requests) {
    return List.of(
        ServiceDemand.newBuilder().setService("s").setRequests((float) requests).build());
  }

  private static double fraction(List<ServicePart> parts) {
    return parts.stream()
        .filter(part -> part.getService().equals("s"))
        .mapToDouble(ServicePart::getFraction)
        .sum();
  }

  @DataProvider
  public Object[][] demands() {
    return new Object[][] {
      {new double[] {1}}, {new double[] {3, 3}}, {new double[] {9, 1, 0, 0}}, {new double[] {0, 40}}
    };
  }

  @Test(dataProvider = "demands")
  public void shouldDivideTheWholeLimitByDemand(double[] requests) {
    List<List<ServiceDemand>> all =
        Arrays.stream(requests).mapToObj(LimitPartsTest::demand).toList();
    LimitParts parts = new LimitParts(all, requests.length);
    double sum = 0;
    double last = -1;
    for (double own : Arrays.stream(requests).sorted().toArray()) {
      double fraction = fraction(parts.of(demand(own)));
      assertThat(fraction).isPositive().isGreaterThanOrEqualTo(last);
      last = fraction;
      sum += fraction;
    }
    assertThat(sum).isCloseTo(1, within(1e-6));
  }

  /** Guards against two control daemons that each divide the whole limit. */
  @Test
  public void shouldLeaveThePartsOfRoutersThatReportElsewhere() {
    LimitParts parts = new LimitParts(List.of(demand(5), demand(5)), 8);
    assertThat(fraction(parts.of(demand(5)))).isCloseTo(1.0 / 8, within(1e-6));
  }

  @Test
  public void shouldGiveARouterWithoutRequestsASmallPart() {
    LimitParts parts = new LimitParts(List.of(demand(8), List.of()), 2);
    assertThat(fraction(parts.of(List.of()))).isBetween(0.01, 0.2);
  }
}
