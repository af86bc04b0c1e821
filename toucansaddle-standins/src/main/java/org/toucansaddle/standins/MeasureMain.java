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

/** Runs an experiment and prints its figures as the last line. Used by one thread. */
@Command(
    name = "measure",
    mixinStandardHelpOptions = true,
    description = "Runs an experiment on real processes; the last line is one JSON object.")
public final class MeasureMain implements Callable<Integer> {

  @Parameters(paramLabel = "NAME", description = "Name of the experiment.")
  private String name;

  @Option(names = "--seed", defaultValue = "1", description = "Seed. Default: 1")
  private long seed;

  @Option(names = "--seconds", description = "Time measured. Default: the experiment's.")
  private Integer seconds;

  /** Runs the command. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new MeasureMain()).execute(args));
  }

  @Override
  public Integer call() {
    Experiment experiment = Experiments.byName(name);
    int measured = seconds != null ? seconds : Experiments.defaultSeconds(name);
    Path folder = Path.of("target", "measure", name + "-" + seed + "-" + System.nanoTime());
    ExperimentRun run = new ExperimentRun(name, seed, measured, folder);
    String json = experiment.run(run).put("seed", seed).put("seconds", measured).toJson();
    System.out.println(json);
    return 0;
  }
}
