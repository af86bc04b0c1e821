package org.toucansaddle.daemon.gateway;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.logging.BoundedAppender;

/** Configures logging of a gateway daemon. Stateless; call it once, before any other class. */
public final class GatewayLogging {

  private GatewayLogging() {}

  /** Logs one line per event to standard output without blocking the calling thread. */
  public static void toStandardOutput() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    BoundedAppender appender = new BoundedAppender(System.out);
    appender.setContext(context);
    appender.start();
    ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.addAppender(appender);
    root.setLevel(Level.WARN);
    context.getLogger("org.toucansaddle").setLevel(Level.INFO);
    context.getLogger("decision").setLevel(Level.INFO);
  }
}
