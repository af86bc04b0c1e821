package org.toucansaddle.coordination.pacing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how many requests to cold upstreams are permitted. */
public class ColdPermitIssuerTest {

  private static final double RATE = 4;

  private long now = 1;
  private final ColdPermitIssuer issuer = new ColdPermitIssuer(() -> now);

  private void advance(long millis) {
    now += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static int issue(ColdPermitIssuer from, String upstream, long start, int requests) {
    List<ColdAsk> asks = List.of(new ColdAsk("s", upstream, start, requests));
    return from.issue(1, asks, service -> RATE).stream().mapToInt(ColdPermit::requests).sum();
  }

  // An issuer that starts again knows nothing of the permits of before, which may be in use.
  @Test
  public void shouldIssueNothingUntilEarlierPermitsHaveExpired() {
    long[] clock = {1};
    ColdPermitIssuer restarted = new ColdPermitIssuer(() -> clock[0]);
    clock[0] += TimeUnit.MILLISECONDS.toNanos(1_799);
    assertThat(issue(restarted, "u", 1, 1)).isZero();
    clock[0] += TimeUnit.MILLISECONDS.toNanos(1);
    assertThat(issue(restarted, "u", 1, 1)).isEqualTo(1);
  }

  @DataProvider
  public Object[][] daemons() {
    return new Object[][] {
      // {own address, permits issued}
      {"a", 1}, {"b", 1}, {"c", 0}, {"d", 0},
    };
  }

  // On three sides of a cut, three daemons issued permits for one cold upstream.
  @Test(dataProvider = "daemons")
  public void shouldIssueOnlyAtTwoDaemonsOfFleet(String self, int permits) {
    ColdPermitIssuer fresh = new ColdPermitIssuer(() -> now);
    advance(2_000);
    fresh.updateDaemons(self, List.of("d", "c", "b", "a"));
    assertThat(issue(fresh, "u", 1, 1)).isEqualTo(permits);
  }

  // A daemon that takes the place of another one must wait for the permits of that one to expire.
  @Test
  public void shouldWaitAfterTakingPlaceOfAnother() {
    ColdPermitIssuer fresh = new ColdPermitIssuer(() -> now);
    advance(10_000);
    fresh.updateDaemons("c", List.of("a", "b", "c"));
    fresh.updateDaemons("c", List.of("b", "c"));
    advance(1_799);
    assertThat(issue(fresh, "u", 1, 1)).isZero();
    advance(1);
    assertThat(issue(fresh, "u", 1, 1)).isEqualTo(1);
  }

  @Test
  public void shouldIssueHalfOfRate() {
    ColdPermitIssuer fresh = new ColdPermitIssuer(() -> now);
    advance(2_000);
    int issued = 0;
    for (int millis = 0; millis < 10_000; millis += 10) {
      issued += issue(fresh, "u", 1, 5);
      advance(10);
    }
    assertThat(issued).isBetween(19, 21);
  }

  @Test
  public void shouldKeepStartsApart() {
    ColdPermitIssuer fresh = new ColdPermitIssuer(() -> now);
    advance(2_000);
    assertThat(issue(fresh, "u", 1, 3)).isEqualTo(1);
    assertThat(issue(fresh, "u", 1, 3)).isZero();
    assertThat(issue(fresh, "u", 2, 3)).isEqualTo(1);
    assertThat(issue(fresh, "v", 1, 3)).isEqualTo(1);
    assertThat(fresh.issuedCount()).isEqualTo(3);
  }

  @DataProvider
  public Object[][] ratesOfServicesNeverCold() {
    return new Object[][] {{0.0}, {-1.0}};
  }

  @Test(dataProvider = "ratesOfServicesNeverCold")
  public void shouldIssueNothingForServiceThatIsNeverCold(double rate) {
    advance(5_000);
    assertThat(issuer.issue(1, List.of(new ColdAsk("s", "u", 1, 1)), s -> rate)).isEmpty();
  }
}
