package org.toucansaddle.daemon.internal.relay;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The requests under way, for time limits and shutdown. Thread-safe. */
public final class ActiveRequests {

  private static final Logger LOG = LoggerFactory.getLogger(ActiveRequests.class);

  private final Set<RelayedRequest> active = ConcurrentHashMap.newKeySet();

  void add(RelayedRequest request) {
    active.add(request);
  }

  void remove(RelayedRequest request) {
    active.remove(request);
  }

  /** Returns how many requests are under way. */
  public int size() {
    return active.size();
  }

  /** Checks the time limits of all requests. */
  public void checkTimeouts(long nowMillis) {
    for (RelayedRequest request : active) {
      try {
        request.checkTimeouts(nowMillis);
      } catch (RuntimeException e) {
        LOG.error("the time limits of a request could not be checked", e);
      }
    }
  }
}
