package org.toucansaddle.standins;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.toucansaddle.standins.experiment.Experiment;
import org.toucansaddle.standins.experiment.ExperimentRun;
import org.toucansaddle.standins.experiment.Experiments;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Runs an experiment and prints its results as one JSON object on the last line. Confined to one
 * thread.
 */
@Command(
    name = "measure",
    mixinStandardHelpOptions = true,
    description = "Runs an experiment on real processes; the last line is one JSON object.")
public final class MeasureMain implements Callable<Integer> {

  @Parameters(paramLabel = "NAME", description = "Name of the experiment.")
  private String name;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Seed of the random choices. Default: 1")
  private long seed;

  @Option(
      names = "--seconds",
      description = "Measuring time in seconds. Default: depends on the experiment.")
  private Integer seconds;

  public static void main(String[] args) {
    System.exit(new CommandLine(new MeasureMain()).execute(args));
  }

  @Override
  public Integer call() {
    Experiment experiment = Experiments.byName(name);
    int durationSeconds = seconds != null ? seconds : Experiments.defaultSeconds(name);
    Path outputFolder = Path.of("target", "measure", name + "-" + seed + "-" + System.nanoTime());
    ExperimentRun run = new ExperimentRun(name, seed, durationSeconds, outputFolder);
    String json = experiment.run(run).put("seed", seed).put("seconds", durationSeconds).toJson();
    System.out.println(json);
    return 0;
  }
}
