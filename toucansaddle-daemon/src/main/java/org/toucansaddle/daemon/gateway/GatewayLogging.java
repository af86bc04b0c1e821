package org.toucansaddle.daemon.gateway;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.logging.BoundedAppender;

/** Sets up the logs of a gateway daemon. Stateless; call it once, before anything else. */
public final class GatewayLogging {

  private GatewayLogging() {}

  /** Writes one line for each event to standard output, without ever making a thread wait. */
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
