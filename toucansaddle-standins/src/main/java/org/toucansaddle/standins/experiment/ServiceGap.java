package org.toucansaddle.standins.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.toucansaddle.standins.journal.JournalEntry;
import org.toucansaddle.standins.load.RequestRecord;

/**
 * Largest difference of service between two accounts over spans in which both were backlogged.
 *
 * <p>Service is read from the engines' samples; an account is backlogged while a caller waits for
 * one of its requests that no engine runs. Immutable after construction.
 */
final class ServiceGap {

  private static final int GRID_MILLIS = 100;

  private final List<String> accounts;
  private final double[][] service;
  private final boolean[][] backlogged;

  ServiceGap(
      List<String> accounts,
      List<JournalEntry> journal,
      List<RequestRecord> requests,
      long from,
      long to) {
    this.accounts = List.copyOf(accounts);
    int points = (int) ((to - from) / GRID_MILLIS);
    this.service = new double[accounts.size()][points];
    this.backlogged = new boolean[accounts.size()][points];
    readSamples(journal, from, points);
    markBacklog(journal, requests, from, points);
  }

  private void readSamples(List<JournalEntry> journal, long from, int points) {
    Map<String, Map<String, Double>> latest = new HashMap<>();
    int next = 0;
    for (int point = 0; point < points; point++) {
      long time = from + (long) point * GRID_MILLIS;
      for (; next < journal.size() && journal.get(next).timeMillis() <= time; next++) {
        JournalEntry entry = journal.get(next);
        if (entry.event().equals("sample")) {
          Map<String, Double> tokens = new HashMap<>();
          entry
              .fields()
              .path("service")
              .fields()
              .forEachRemaining(f -> tokens.put(f.getKey(), f.getValue().asDouble()));
          latest.put(entry.text("engine"), tokens);
        }
      }
      for (int a = 0; a < accounts.size(); a++) {
        String account = accounts.get(a);
        service[a][point] =
            latest.values().stream().mapToDouble(t -> t.getOrDefault(account, 0.0)).sum();
      }
    }
  }

  private void markBacklog(
      List<JournalEntry> journal, List<RequestRecord> requests, long from, int points) {
    Map<Long, Long> startedAt = startTimes(journal);
    int[][] waiting = new int[accounts.size()][points + 1];
    for (RequestRecord request : requests) {
      int account = accounts.indexOf(request.account());
      long start = startedAt.getOrDefault(request.promptHash(), request.endedAt());
      int first = point(request.sentAt(), from, points);
      int last = Math.max(first, point(start, from, points));
      waiting[account][first]++;
      waiting[account][last]--;
    }
    for (int a = 0; a < accounts.size(); a++) {
      int count = 0;
      for (int point = 0; point < points; point++) {
        count += waiting[a][point];
        backlogged[a][point] = count > 0;
      }
    }
  }

  private static int point(long time, long from, int points) {
    if (time == Long.MAX_VALUE) {
      return points;
    }
    long point = (time - from + GRID_MILLIS - 1) / GRID_MILLIS;
    return (int) Math.max(0, Math.min(points, point));
  }

  /** Returns the first time that each prompt, by its hash, was started. */
  static Map<Long, Long> startTimes(List<JournalEntry> journal) {
    Map<Long, Long> times = new HashMap<>();
    for (JournalEntry entry : journal) {
      if (entry.event().equals("start")) {
        long hash = Long.parseUnsignedLong(entry.text("prompt"), 16);
        times.putIfAbsent(hash, entry.timeMillis());
      }
    }
    return times;
  }

  /** Returns the largest gap over all pairs, in tokens. */
  double max() {
    double largest = 0;
    for (int a = 0; a < accounts.size(); a++) {
      for (int b = a + 1; b < accounts.size(); b++) {
        largest = Math.max(largest, gap(a, b));
      }
    }
    return largest;
  }

  private double gap(int a, int b) {
    double largest = 0;
    double least = Double.POSITIVE_INFINITY;
    double most = Double.NEGATIVE_INFINITY;
    for (int point = 0; point < service[a].length; point++) {
      if (!backlogged[a][point] || !backlogged[b][point]) {
        least = Double.POSITIVE_INFINITY;
        most = Double.NEGATIVE_INFINITY;
        continue;
      }
      double difference = service[a][point] - service[b][point];
      least = Math.min(least, difference);
      most = Math.max(most, difference);
      largest = Math.max(largest, most - least);
    }
    return largest;
  }

  /** Returns the service of each account at the end, in tokens. */
  Map<String, Double> totals() {
    Map<String, Double> totals = new TreeMap<>();
    for (int a = 0; a < accounts.size(); a++) {
      totals.put(accounts.get(a), service[a][service[a].length - 1]);
    }
    return totals;
  }

  /** Returns the gap between the least and most served account at each point of the grid. */
  List<double[]> curve() {
    List<double[]> curve = new ArrayList<>();
    int points = service.length == 0 ? 0 : service[0].length;
    for (int point = 0; point < points; point++) {
      double least = Double.POSITIVE_INFINITY;
      double most = Double.NEGATIVE_INFINITY;
      for (double[] line : service) {
        least = Math.min(least, line[point]);
        most = Math.max(most, line[point]);
      }
      curve.add(new double[] {point * GRID_MILLIS / 1e3, most - least});
    }
    return curve;
  }
}
