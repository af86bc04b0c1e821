package org.toucansaddle.standins.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.toucansaddle.standins.journal.JournalEntry;
import org.toucansaddle.standins.load.RequestRecord;

/**
 * Service gap between accounts: how much the difference of the service of two accounts changes
 * while both are backlogged.
 *
 * <p>Service is the number of tokens that the engines report in their samples. An account is
 * backlogged while a caller waits for one of its requests that no engine has started. Both are
 * evaluated every {@link #SAMPLE_INTERVAL_MILLIS}. Immutable and thread-safe.
 */
final class ServiceGap {

  private static final int SAMPLE_INTERVAL_MILLIS = 100;

  private final List<String> accounts;
  private final double[][] serviceTokens;
  private final boolean[][] backlogged;

  ServiceGap(
      List<String> accounts,
      List<JournalEntry> journal,
      List<RequestRecord> requests,
      long fromMillis,
      long toMillis) {
    this.accounts = List.copyOf(accounts);
    int sampleCount = (int) ((toMillis - fromMillis) / SAMPLE_INTERVAL_MILLIS);
    this.serviceTokens = new double[accounts.size()][sampleCount];
    this.backlogged = new boolean[accounts.size()][sampleCount];
    readSamples(journal, fromMillis, sampleCount);
    markBacklogged(journal, requests, fromMillis, sampleCount);
  }

  private void readSamples(List<JournalEntry> journal, long fromMillis, int sampleCount) {
    Map<String, Map<String, Double>> latestByEngine = new HashMap<>();
    int nextEntry = 0;
    for (int sampleIndex = 0; sampleIndex < sampleCount; sampleIndex++) {
      long timeMillis = fromMillis + (long) sampleIndex * SAMPLE_INTERVAL_MILLIS;
      for (;
          nextEntry < journal.size() && journal.get(nextEntry).timeMillis() <= timeMillis;
          nextEntry++) {
        JournalEntry entry = journal.get(nextEntry);
        if (entry.event().equals("sample")) {
          Map<String, Double> tokens = new HashMap<>();
          entry
              .fields()
              .path("service")
              .fields()
              .forEachRemaining(field -> tokens.put(field.getKey(), field.getValue().asDouble()));
          latestByEngine.put(entry.text("engine"), tokens);
        }
      }
      for (int accountIndex = 0; accountIndex < accounts.size(); accountIndex++) {
        String account = accounts.get(accountIndex);
        serviceTokens[accountIndex][sampleIndex] =
            latestByEngine.values().stream().mapToDouble(t -> t.getOrDefault(account, 0.0)).sum();
      }
    }
  }

  private void markBacklogged(
      List<JournalEntry> journal, List<RequestRecord> requests, long fromMillis, int sampleCount) {
    Map<Long, Long> startTimesMillis = startTimesMillis(journal);
    int[][] waitingChanges = new int[accounts.size()][sampleCount + 1];
    for (RequestRecord request : requests) {
      int account = accounts.indexOf(request.account());
      long startMillis =
          startTimesMillis.getOrDefault(request.promptHash(), request.endedAtMillis());
      int firstSample = sampleIndex(request.sentAtMillis(), fromMillis, sampleCount);
      int endSample = Math.max(firstSample, sampleIndex(startMillis, fromMillis, sampleCount));
      waitingChanges[account][firstSample]++;
      waitingChanges[account][endSample]--;
    }
    for (int accountIndex = 0; accountIndex < accounts.size(); accountIndex++) {
      int waitingCount = 0;
      for (int sampleIndex = 0; sampleIndex < sampleCount; sampleIndex++) {
        waitingCount += waitingChanges[accountIndex][sampleIndex];
        backlogged[accountIndex][sampleIndex] = waitingCount > 0;
      }
    }
  }

  /** Returns the index of the first sample at or after a time, limited to the measured period. */
  private static int sampleIndex(long timeMillis, long fromMillis, int sampleCount) {
    if (timeMillis == Long.MAX_VALUE) {
      return sampleCount;
    }
    long sampleIndex =
        (timeMillis - fromMillis + SAMPLE_INTERVAL_MILLIS - 1) / SAMPLE_INTERVAL_MILLIS;
    return (int) Math.max(0, Math.min(sampleCount, sampleIndex));
  }

  /** Returns when each prompt was first started, by its hash, in milliseconds since the epoch. */
  static Map<Long, Long> startTimesMillis(List<JournalEntry> journal) {
    Map<Long, Long> startTimes = new HashMap<>();
    for (JournalEntry entry : journal) {
      if (entry.event().equals("start")) {
        long promptHash = Long.parseUnsignedLong(entry.text("prompt"), 16);
        startTimes.putIfAbsent(promptHash, entry.timeMillis());
      }
    }
    return startTimes;
  }

  /** Returns the largest gap over all pairs of accounts, in tokens. */
  double maxTokens() {
    double maxGap = 0;
    for (int first = 0; first < accounts.size(); first++) {
      for (int second = first + 1; second < accounts.size(); second++) {
        maxGap = Math.max(maxGap, maxGapTokens(first, second));
      }
    }
    return maxGap;
  }

  private double maxGapTokens(int first, int second) {
    double maxGap = 0;
    double min = Double.POSITIVE_INFINITY;
    double max = Double.NEGATIVE_INFINITY;
    for (int sampleIndex = 0; sampleIndex < serviceTokens[first].length; sampleIndex++) {
      if (!backlogged[first][sampleIndex] || !backlogged[second][sampleIndex]) {
        min = Double.POSITIVE_INFINITY;
        max = Double.NEGATIVE_INFINITY;
        continue;
      }
      double difference = serviceTokens[first][sampleIndex] - serviceTokens[second][sampleIndex];
      min = Math.min(min, difference);
      max = Math.max(max, difference);
      maxGap = Math.max(maxGap, max - min);
    }
    return maxGap;
  }

  /** Returns the service at the end of the measured period by account, in tokens. */
  Map<String, Double> totalTokens() {
    Map<String, Double> totals = new TreeMap<>();
    for (int accountIndex = 0; accountIndex < accounts.size(); accountIndex++) {
      totals.put(
          accounts.get(accountIndex),
          serviceTokens[accountIndex][serviceTokens[accountIndex].length - 1]);
    }
    return totals;
  }

  /**
   * Returns the gap between the least and the most served account at each sample.
   *
   * <p>Each element holds the time in seconds from the start and the gap in tokens.
   */
  List<double[]> spreadOverTime() {
    List<double[]> spread = new ArrayList<>();
    int sampleCount = serviceTokens.length == 0 ? 0 : serviceTokens[0].length;
    for (int sampleIndex = 0; sampleIndex < sampleCount; sampleIndex++) {
      double min = Double.POSITIVE_INFINITY;
      double max = Double.NEGATIVE_INFINITY;
      for (double[] accountService : serviceTokens) {
        min = Math.min(min, accountService[sampleIndex]);
        max = Math.max(max, accountService[sampleIndex]);
      }
      spread.add(new double[] {sampleIndex * SAMPLE_INTERVAL_MILLIS / 1e3, max - min});
    }
    return spread;
  }
}
