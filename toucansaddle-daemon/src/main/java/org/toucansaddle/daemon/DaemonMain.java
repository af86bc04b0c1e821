package org.toucansaddle.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.logging.LogSetup;
import org.toucansaddle.daemon.settings.DaemonSettings;
import org.toucansaddle.daemon.settings.SettingsException;
import org.toucansaddle.daemon.settings.SettingsFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Command line of {@code toucansaddled}. Not thread-safe. */
@Command(
    name = "toucansaddled",
    mixinStandardHelpOptions = true,
    version = "toucansaddled 0.1.0",
    description = "Routes model requests and service calls of client accounts to upstreams.",
    footer = {
      "",
      "Exit codes: 0 stopped or settings are valid, 1 could not start, 2 settings are invalid.",
      "",
      "Example:",
      "  toucansaddled --settings etc/adriavion-router-1.toml"
    })
public final class DaemonMain implements Callable<Integer> {

  private static final int EXIT_OK = 0;
  private static final int EXIT_START_FAILED = 1;
  private static final int EXIT_INVALID_SETTINGS = 2;

  @Option(names = "--settings", description = "TOML file with the daemon's settings.")
  private Path settingsFile;

  @Option(names = "--check-settings", description = "Check a settings file and exit.")
  private Path checkedFile;

  /** Runs the command line and exits with its exit code. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new DaemonMain()).execute(args));
  }

  @Override
  public Integer call() throws InterruptedException {
    Path file = checkedFile != null ? checkedFile : settingsFile;
    if (file == null) {
      System.err.println("No settings file given. Use: toucansaddled --settings FILE");
      return EXIT_INVALID_SETTINGS;
    }
    DaemonSettings settings;
    try {
      settings = SettingsFile.read(file);
    } catch (SettingsException e) {
      System.err.println(e.getMessage());
      return EXIT_INVALID_SETTINGS;
    }
    if (checkedFile != null) {
      System.out.println("The settings file " + file + " is valid.");
      return EXIT_OK;
    }
    return run(settings);
  }

  private static int run(DaemonSettings settings) throws InterruptedException {
    LogSetup.apply(settings.log());
    Daemon daemon;
    try {
      daemon = Daemon.start(settings);
    } catch (IOException | RuntimeException e) {
      LoggerFactory.getLogger(DaemonMain.class).error("daemon failed to start", e);
      return EXIT_START_FAILED;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(daemon::shutDown, "shutdown"));
    daemon.awaitStopped();
    return EXIT_OK;
  }
}
