package org.toucansaddle.cli;

import org.toucansaddle.cli.internal.AccountCommands;
import org.toucansaddle.cli.internal.ClassCommands;
import org.toucansaddle.cli.internal.CliErrors;
import org.toucansaddle.cli.internal.DocumentCommands;
import org.toucansaddle.cli.internal.DrainCommand;
import org.toucansaddle.cli.internal.ExplainCommands;
import org.toucansaddle.cli.internal.StatusCommand;
import org.toucansaddle.cli.internal.UpstreamsCommand;
import org.toucansaddle.cli.internal.ZoneCommands;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of {@code toucansaddle}. Stateless. */
@Command(
    name = "toucansaddle",
    mixinStandardHelpOptions = true,
    version = "toucansaddle 0.1.0",
    description = "Manages the configuration of the fleet and shows its state.",
    subcommands = {
      ClassCommands.class,
      AccountCommands.class,
      UpstreamsCommand.class,
      DocumentCommands.class,
      ZoneCommands.class,
      ExplainCommands.class,
      StatusCommand.class,
      DrainCommand.class,
      AutoComplete.GenerateCompletion.class
    },
    footer = {
      "",
      "Exit codes: 0 success, 1 failure or unavailable, 2 invalid usage, 3 conflicting change,",
      "4 not found, 5 accepted but not yet in force at every live router,",
      "6 no route of the host and path, 7 unknown client account, 8 no router answered.",
      "",
      "Examples:",
      "  toucansaddle --admin 127.0.0.1:7201 --token-file token class list",
      "  toucansaddle class set short-answer --pool chart-model --first-token 500ms \\",
      "      --whole-answer 8s --wait",
      "  source <(toucansaddle generate-completion)"
    })
public final class CliMain {

  private CliMain() {}

  /** Runs a command and exits the JVM with its exit code. */
  public static void main(String[] args) {
    System.exit(run(args));
  }

  /** Runs a command and returns its exit code. */
  public static int run(String... args) {
    return new CommandLine(new CliMain())
        .setCaseInsensitiveEnumValuesAllowed(true)
        .setExecutionExceptionHandler((e, commandLine, result) -> CliErrors.report(e, commandLine))
        .execute(args);
  }
}
