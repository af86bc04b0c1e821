package org.toucansaddle.coordination.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which part of an account's requests is admitted, under patterns of load. */
public class AccountPartsTest {

  private static final double ADMITTED = 0.3;

  private final Map<String, Integer> admitted = new TreeMap<>();
  private SplittableRandom random;
  private AccountParts parts;
  private long now;

  @BeforeMethod
  public void createParts() {
    now = 1;
    parts = new AccountParts(() -> now);
  }

  @DataProvider
  static Object[][] seeds() {
    return LongStream.rangeClosed(1, 8)
        .mapToObj(seed -> new Object[] {seed})
        .toArray(Object[][]::new);
  }

  /** Plays requests at random times; rates are in requests a second, by account. */
  private void play(Map<String, Integer> rates, double seconds) {
    admitted.clear();
    int all = rates.values().stream().mapToInt(rate -> rate).sum();
    long until = now + (long) (seconds * TimeUnit.SECONDS.toNanos(1));
    while (now < until) {
      now += (long) (-Math.log(1 - random.nextDouble()) * TimeUnit.SECONDS.toNanos(1) / all);
      String account = drawAccount(rates, random.nextInt(all));
      parts.record(account);
      if (random.nextDouble() < parts.partOf(account, ADMITTED)) {
        admitted.merge(account, 1, Integer::sum);
      }
    }
  }

  private static String drawAccount(Map<String, Integer> rates, int drawn) {
    int left = drawn;
    for (Map.Entry<String, Integer> rate : rates.entrySet()) {
      left -= rate.getValue();
      if (left < 0) {
        return rate.getKey();
      }
    }
    throw new IllegalArgumentException("drawn number %d exceeds rates %s".formatted(drawn, rates));
  }

  /**
   * Burst of an account that goes on like another one after it. Guards against an account that gets
   * far less than its share until its burst is forgotten.
   */
  @Test(dataProvider = "seeds")
  public void shouldAdmitShareOfAccountWhoseBurstHasEnded(long seed) {
    random = new SplittableRandom(seed);
    play(new TreeMap<>(Map.of("burst", 800, "steady", 100)), 4);
    play(new TreeMap<>(Map.of("burst", 100, "steady", 100)), 0.5);
    play(new TreeMap<>(Map.of("burst", 100, "steady", 100)), 2);
    assertThat(admitted.get("burst"))
        .as("seed %d, beside %d of a like account", seed, admitted.get("steady"))
        .isGreaterThan(admitted.get("steady") / 2);
  }

  /**
   * Forty accounts with two requests a second each. Guards against accounts that are refused for
   * the randomness of their few requests.
   */
  @Test(dataProvider = "seeds")
  public void shouldAdmitPartOfManyAccountsWithFewRequests(long seed) {
    random = new SplittableRandom(seed);
    Map<String, Integer> rates = new TreeMap<>();
    for (int index = 0; index < 40; index++) {
      rates.put("account" + index, 2);
    }
    play(rates, 5);
    play(rates, 100);
    int sum = admitted.values().stream().mapToInt(count -> count).sum();
    int least = admitted.values().stream().mapToInt(count -> count).min().orElse(0);
    assertThat(sum).as("of 8,000 requests, seed %d", seed).isBetween(1_900, 2_500);
    assertThat(least).as("of 200 requests, seed %d", seed).isGreaterThan(25);
  }
}
