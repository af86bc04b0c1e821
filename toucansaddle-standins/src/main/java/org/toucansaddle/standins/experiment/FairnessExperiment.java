package org.toucansaddle.standins.experiment;

import java.util.Map;
import org.toucansaddle.standins.experiment.SharingScenario.Trace;
import org.toucansaddle.standins.load.Caller;
import org.toucansaddle.standins.load.RequestRecord;

/** Measures the service gap between accounts, fleet-wide sharing against each router on its own. */
final class FairnessExperiment implements Experiment {

  @Override
  public Measurements run(ExperimentRun run) {
    Measurements figures = measure(run, "fleet");
    Measurements baseline = measure(run, "local");
    double ratio = figures.get("gap_max_tokens") / baseline.get("gap_max_tokens");
    return figures.putBaseline(baseline).put("gap_to_baseline_ratio", ratio);
  }

  private static Measurements measure(ExperimentRun run, String mode) {
    Trace trace =
        SharingScenario.run(
            run.folder().resolve(mode),
            SharingScenario.fleetSpec(mode),
            SharingScenario.backloggedLoads(run.seed()),
            run,
            SharingScenario.noOpObserver());
    ServiceGap gap =
        new ServiceGap(
            trace.accounts(),
            trace.journal(),
            trace.requests(),
            trace.fromMillis(),
            trace.toMillis());
    GapPlot.write(run.folder().resolve("gap-" + mode + ".png"), mode, gap.spreadOverTime());
    gap.totalTokens()
        .forEach((account, tokens) -> System.out.println(mode + " " + account + " " + tokens));
    double total = gap.totalTokens().values().stream().mapToDouble(t -> t).sum();
    return new Measurements()
        .put("gap_max_tokens", gap.maxTokens())
        .put("gap_bound_tokens", GapBound.maxGapTokens())
        .put("small_account_wait_max_ms", longestSmallWait(trace))
        .put("tokens_per_s", total * 1_000 / (trace.toMillis() - trace.fromMillis()))
        .put("wrong_answers", count(trace, Caller.Outcome.WRONG))
        .put("lost_answers", count(trace, Caller.Outcome.LOST))
        .put("problems", count(trace, Caller.Outcome.PROBLEM));
  }

  private static long count(Trace trace, Caller.Outcome outcome) {
    return trace.requests().stream()
        .filter(r -> r.result() != null && r.result().outcome() == outcome)
        .count();
  }

  private static long longestSmallWait(Trace trace) {
    Map<Long, Long> startedAt = ServiceGap.startTimesMillis(trace.journal());
    long longest = 0;
    for (RequestRecord request : trace.requests()) {
      boolean small = trace.accounts().indexOf(request.account()) >= 3;
      if (small) {
        long start = startedAt.getOrDefault(request.promptHash(), trace.toMillis());
        longest = Math.max(longest, start - request.sentAtMillis());
      }
    }
    return longest;
  }
}
