package org.toucansaddle.daemon.internal.logging;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.slf4j.LoggerFactory;
import org.testng.annotations.Test;

/** Tests of {@link BoundedAppender}. */
public class BoundedAppenderTest {

  private static final int WRITE_TIMEOUT_MILLIS = 5_000;

  /** Guards against a name with a line break that looks like a log line of its own. */
  @Test
  public void shouldWriteOneLineForMessageWithLineBreaks() throws InterruptedException {
    ByteArrayOutputStream written = new ByteArrayOutputStream();
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    BoundedAppender appender =
        new BoundedAppender(new PrintStream(written, true, StandardCharsets.UTF_8));
    appender.setContext(context);
    appender.start();
    Logger logger = context.getLogger(BoundedAppenderTest.class);
    logger.addAppender(appender);
    logger.setLevel(Level.INFO);

    logger.info("account={} ended", "a\r\nlevel=INFO forged \u0161");
    for (int i = 0; written.size() == 0 && i < WRITE_TIMEOUT_MILLIS; i++) {
      Thread.sleep(1);
    }
    logger.detachAppender(appender);
    assertThat(written.toString(StandardCharsets.UTF_8))
        .containsOnlyOnce("\n")
        .contains("account=a\\u000d\\u000alevel=INFO forged \u0161 ended");
  }
}
