package org.toucansaddle.standins.experiment;

import java.util.Map;
import org.toucansaddle.standins.experiment.SharingScenario.Trace;
import org.toucansaddle.standins.load.Caller;
import org.toucansaddle.standins.load.RequestRecord;

/** Measures the service gap between accounts, fleet-wide sharing against each router on its own. */
final class FairnessExperiment implements Experiment {

  @Override
  public Figures run(ExperimentRun run) {
    Figures figures = measure(run, "fleet");
    Figures baseline = measure(run, "local");
    double ratio = figures.get("gap_max_tokens") / baseline.get("gap_max_tokens");
    return figures.putBaseline(baseline).put("gap_to_baseline_ratio", ratio);
  }

  private static Figures measure(ExperimentRun run, String mode) {
    Trace trace =
        SharingScenario.run(
            run.folder().resolve(mode),
            SharingScenario.spec(mode),
            SharingScenario.allBacklogged(run.seed()),
            run,
            SharingScenario.nothing());
    ServiceGap gap =
        new ServiceGap(
            trace.accounts(), trace.journal(), trace.requests(), trace.from(), trace.to());
    GapPlot.write(run.folder().resolve("gap-" + mode + ".png"), mode, gap.curve());
    gap.totals()
        .forEach((account, tokens) -> System.out.println(mode + " " + account + " " + tokens));
    double total = gap.totals().values().stream().mapToDouble(t -> t).sum();
    return new Figures()
        .put("gap_max_tokens", gap.max())
        .put("gap_bound_tokens", GapBound.tokens())
        .put("small_account_wait_max_ms", longestSmallWait(trace))
        .put("tokens_per_s", total * 1_000 / (trace.to() - trace.from()))
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
    Map<Long, Long> startedAt = ServiceGap.startTimes(trace.journal());
    long longest = 0;
    for (RequestRecord request : trace.requests()) {
      boolean small = trace.accounts().indexOf(request.account()) >= 3;
      if (small) {
        long start = startedAt.getOrDefault(request.promptHash(), trace.to());
        longest = Math.max(longest, start - request.sentAt());
      }
    }
    return longest;
  }
}
