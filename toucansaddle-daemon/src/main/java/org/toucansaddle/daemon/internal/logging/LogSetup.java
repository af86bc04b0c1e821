package org.toucansaddle.daemon.internal.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.settings.DaemonSettings;

/** Configures logging to standard output from the settings. Stateless; call it once at startup. */
public final class LogSetup {

  private static final String PATTERN = "%d{ISO8601} %-5level %logger{24} %msg%n";

  private LogSetup() {}

  /** Replaces the logging configuration of the process. */
  public static void apply(DaemonSettings.Log settings) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setEncoder(encoder(settings, context));
    appender.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.addAppender(appender);
    root.setLevel(Level.WARN);
    Level level = Level.toLevel(settings.level(), Level.INFO);
    context.getLogger("org.toucansaddle").setLevel(level);
    context.getLogger("decision").setLevel(level);
  }

  private static Encoder<ILoggingEvent> encoder(
      DaemonSettings.Log settings, LoggerContext context) {
    if (settings.json()) {
      LogstashEncoder encoder = new LogstashEncoder();
      encoder.setContext(context);
      encoder.start();
      return encoder;
    }
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern(PATTERN);
    encoder.start();
    return encoder;
  }
}
