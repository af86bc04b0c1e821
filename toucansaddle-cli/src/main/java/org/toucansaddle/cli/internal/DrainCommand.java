package org.toucansaddle.cli.internal;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Shuts down a daemon gracefully. Not thread-safe. */
@Command(
    name = "drain",
    mixinStandardHelpOptions = true,
    description = {
      "Shuts down a daemon: it rejects new requests, completes running ones and leaves the fleet.",
      "Specify exactly one daemon with --admin."
    },
    footer = {"", "Example: toucansaddle drain --admin 127.0.0.1:7201"})
public final class DrainCommand implements Runnable {

  @Spec private CommandSpec spec;
  @Mixin private AdminOptions adminOptions;

  @Override
  public void run() {
    try (AdminClient client = adminOptions.createClient()) {
      client.post("drain");
      new Printer(spec.commandLine().getOut()).printLine("draining");
    }
  }
}
