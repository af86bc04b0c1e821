package org.toucansaddle.standins.experiment;

import java.util.Map;
import org.toucansaddle.standins.experiment.SharingScenario.Trace;
import org.toucansaddle.standins.load.Caller;
import org.toucansaddle.standins.load.RequestRecord;

/**
 * Measures the service gap between accounts under fleet-wide sharing; the baseline is sharing by
 * each router alone.
 *
 * <p>Stateless and thread-safe.
 */
final class FairnessExperiment implements Experiment {

  @Override
  public Measurements run(ExperimentRun run) {
    Measurements measurements = measure(run, "fleet");
    Measurements baseline = measure(run, "local");
    double ratio = measurements.get("gap_max_tokens") / baseline.get("gap_max_tokens");
    return measurements.putBaseline(baseline).put("gap_to_baseline_ratio", ratio);
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
    double totalTokens = gap.totalTokens().values().stream().mapToDouble(t -> t).sum();
    return new Measurements()
        .put("gap_max_tokens", gap.maxTokens())
        .put("gap_bound_tokens", GapBound.maxGapTokens())
        .put("small_account_wait_max_ms", maxSmallAccountWaitMillis(trace))
        .put("tokens_per_s", totalTokens * 1_000 / (trace.toMillis() - trace.fromMillis()))
        .put("wrong_answers", countOutcomes(trace, Caller.Outcome.WRONG))
        .put("lost_answers", countOutcomes(trace, Caller.Outcome.LOST))
        .put("problems", countOutcomes(trace, Caller.Outcome.PROBLEM));
  }

  private static long countOutcomes(Trace trace, Caller.Outcome outcome) {
    return trace.requests().stream()
        .filter(r -> r.result() != null && r.result().outcome() == outcome)
        .count();
  }

  private static long maxSmallAccountWaitMillis(Trace trace) {
    Map<Long, Long> startTimesMillis = ServiceGap.startTimesMillis(trace.journal());
    long maxWaitMillis = 0;
    for (RequestRecord request : trace.requests()) {
      boolean isSmall = trace.accounts().indexOf(request.account()) >= 3;
      if (isSmall) {
        long startMillis = startTimesMillis.getOrDefault(request.promptHash(), trace.toMillis());
        maxWaitMillis = Math.max(maxWaitMillis, startMillis - request.sentAtMillis());
      }
    }
    return maxWaitMillis;
  }
}
