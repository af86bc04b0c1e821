package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.pacing.UpstreamPace;
import org.toucansaddle.coordination.pacing.UpstreamPace.Change;

/**
 * Logs the changes of the pace of one upstream, at most one a second. Used while the pace is
 * locked, which makes it thread-safe.
 */
final class PaceLog implements UpstreamPace.Listener {

  private static final Logger LOG = LoggerFactory.getLogger(PaceLog.class);

  private static final long MIN_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final String upstream;
  private boolean hasLogged;
  private long loggedAt;

  PaceLog(String upstream) {
    this.upstream = upstream;
  }

  @Override
  public void onChange(Change change, double pace, long nowNanos) {
    if (hasLogged && nowNanos - loggedAt < MIN_INTERVAL_NANOS) {
      return;
    }
    hasLogged = true;
    loggedAt = nowNanos;
    switch (change) {
      case BEGUN -> LOG.info("pace of upstream {} begins at {}", upstream, rounded(pace));
      case HALVED -> LOG.info("pace of upstream {} is halved to {}", upstream, rounded(pace));
      default -> LOG.info("pace of upstream {} ends at {}", upstream, rounded(pace));
    }
  }

  private static double rounded(double pace) {
    return Math.round(pace * 100) / 100.0;
  }
}
