package org.toucansaddle.cli.internal;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Shuts a daemon down gracefully. Used by one thread. */
@Command(
    name = "drain",
    mixinStandardHelpOptions = true,
    description = {
      "Makes the daemon asked take no new work, finish what it has, leave the fleet and stop.",
      "Name exactly one daemon with --admin."
    },
    footer = {"", "Example: toucansaddle drain --admin 127.0.0.1:7201"})
public final class DrainCommand implements Runnable {

  @Spec private CommandSpec spec;
  @Mixin private AdminOptions admin;

  @Override
  public void run() {
    try (AdminClient client = admin.createClient()) {
      client.post("drain");
      new Printer(spec.commandLine().getOut()).printLine("draining");
    }
  }
}
