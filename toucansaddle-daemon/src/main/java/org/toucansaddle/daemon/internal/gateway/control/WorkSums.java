package org.toucansaddle.daemon.internal.gateway.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.protocol.generated.LimitNotice;
import org.toucansaddle.protocol.generated.LoadNotice;
import org.toucansaddle.protocol.generated.PaceEvidence;
import org.toucansaddle.protocol.generated.UpstreamWork;

/**
 * Sums what several routers report of their requests at each upstream. What an upstream reported in
 * a response is taken from the router that received the newest one. Not thread-safe.
 */
final class WorkSums {

  private final Map<String, UpstreamWork> sums = new HashMap<>();

  /** Adds the report of a router that was received some time ago. */
  void add(List<UpstreamWork> works, long ageNanos) {
    works.forEach(work -> sums.merge(work.getUpstream(), aged(work, ageNanos), WorkSums::add));
  }

  /** Returns the sum of each upstream. */
  Collection<UpstreamWork> values() {
    return sums.values();
  }

  /** Adds the time since a report to the ages of the notices in it. */
  private static UpstreamWork aged(UpstreamWork work, long nanos) {
    if (!work.hasLimit() && !work.hasLoad() && !work.hasPace()) {
      return work;
    }
    int millis = (int) TimeUnit.NANOSECONDS.toMillis(nanos);
    UpstreamWork.Builder aged = work.toBuilder();
    if (work.hasLimit()) {
      aged.getLimitBuilder().setAgeMillis(work.getLimit().getAgeMillis() + millis);
    }
    if (work.hasLoad()) {
      aged.getLoadBuilder().setAgeMillis(work.getLoad().getAgeMillis() + millis);
    }
    if (work.hasPace()) {
      int behindMillis = work.getPace().getFellBehindAgeMillis() + millis;
      aged.getPaceBuilder().setFellBehindAgeMillis(behindMillis);
    }
    return aged.build();
  }

  private static UpstreamWork add(UpstreamWork a, UpstreamWork b) {
    UpstreamWork.Builder sum =
        a.toBuilder()
            .setRequests(a.getRequests() + b.getRequests())
            .setPendingTokens(a.getPendingTokens() + b.getPendingTokens())
            .setMemoryTokens(a.getMemoryTokens() + b.getMemoryTokens())
            .setStuck(a.getStuck() + b.getStuck())
            .setAnswered(a.getAnswered() + b.getAnswered())
            .setObservedMillis(a.getObservedMillis() + b.getObservedMillis())
            .setNominalMillis(a.getNominalMillis() + b.getNominalMillis());
    if (b.hasLimit() && (!a.hasLimit() || isNewer(b.getLimit(), a.getLimit()))) {
      sum.setLimit(b.getLimit());
    }
    if (b.hasLoad() && (!a.hasLoad() || isNewer(b.getLoad(), a.getLoad()))) {
      sum.setLoad(b.getLoad());
    }
    if (b.hasPace()) {
      sum.setPace(a.hasPace() ? add(a.getPace(), b.getPace()) : b.getPace());
    }
    return sum.build();
  }

  /** Adds up the evidence of one start; of several starts the latest counts. */
  private static PaceEvidence add(PaceEvidence a, PaceEvidence b) {
    if (a.getStartedAtMillis() != b.getStartedAtMillis()) {
      return a.getStartedAtMillis() > b.getStartedAtMillis() ? a : b;
    }
    PaceEvidence newer =
        a.getFellBehind() == 0
                || (b.getFellBehind() > 0
                    && b.getFellBehindAgeMillis() < a.getFellBehindAgeMillis())
            ? b
            : a;
    return newer.toBuilder()
        .setKeptPace(a.getKeptPace() + b.getKeptPace())
        .setFellBehind(a.getFellBehind() + b.getFellBehind())
        .build();
  }

  private static boolean isNewer(LimitNotice a, LimitNotice b) {
    return isNewer(
        a.getStartedAtMillis(), a.getAgeMillis(), b.getStartedAtMillis(), b.getAgeMillis());
  }

  private static boolean isNewer(LoadNotice a, LoadNotice b) {
    return isNewer(
        a.getStartedAtMillis(), a.getAgeMillis(), b.getStartedAtMillis(), b.getAgeMillis());
  }

  private static boolean isNewer(long startA, int ageA, long startB, int ageB) {
    return startA == startB ? ageA < ageB : startA > startB;
  }
}
