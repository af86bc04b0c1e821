package org.toucansaddle.daemon.internal.relay;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Requests in progress, tracked for their time limits and for shutdown. Thread-safe. */
public final class ActiveRequests {

  private static final Logger LOG = LoggerFactory.getLogger(ActiveRequests.class);

  private final Set<RelayedRequest> requests = ConcurrentHashMap.newKeySet();

  void add(RelayedRequest request) {
    requests.add(request);
  }

  void remove(RelayedRequest request) {
    requests.remove(request);
  }

  /** Returns the number of requests in progress. */
  public int size() {
    return requests.size();
  }

  /** Checks the time limits of all requests. */
  public void checkTimeouts(long nowMillis) {
    for (RelayedRequest request : requests) {
      try {
        request.checkTimeouts(nowMillis);
      } catch (RuntimeException e) {
        LOG.error("checking the time limits of a request failed", e);
      }
    }
  }
}
