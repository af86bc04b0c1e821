package org.toucansaddle.daemon.internal.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.gateway.control.DocumentStore;
import org.toucansaddle.daemon.internal.gateway.control.FleetState;
import org.toucansaddle.daemon.internal.gateway.routing.RouterState;

/**
 * Reads the newest configuration and the zones out of service with a quorum and retries until there
 * is a configuration.
 *
 * <p>The router serves no requests before, since what a single control daemon has may be outdated.
 * A router that is short of processor time may need several seconds to read a reply, so the timeout
 * grows. Thread-safe.
 */
final class InitialRead {

  private static final Logger LOG = LoggerFactory.getLogger(InitialRead.class);

  /** First timeout; doubled after each one that is exceeded. */
  private static final Duration FIRST_TIMEOUT = Duration.ofMillis(1_000);

  private static final Duration MAX_TIMEOUT = Duration.ofMillis(8_000);

  /** Time for a control daemon to reply, in addition to half of the timeout. */
  private static final Duration MIN_ATTEMPT = Duration.ofMillis(200);

  private final DocumentStore store;
  private final RouterState state;
  private final Executor executor;

  /** Creates a read that passes what it finds to a router's state. */
  InitialRead(DocumentStore store, RouterState state, Executor executor) {
    this.store = store;
    this.state = state;
    this.executor = executor;
  }

  /** Begins to read. */
  void start() {
    read(FIRST_TIMEOUT);
  }

  private void read(Duration timeout) {
    store
        .readState(timeout, timeout.dividedBy(2).plus(MIN_ATTEMPT))
        .whenComplete(
            (found, failure) -> {
              Optional<FleetState> read = failure == null ? found : Optional.empty();
              if (read.map(confirmed -> confirmed.document().version() > 0).orElse(false)) {
                state.applyConfirmed(read.get());
                LOG.info("configuration {} confirmed by a quorum", state.version());
              } else {
                Duration doubled = timeout.multipliedBy(2);
                Duration next = doubled.compareTo(MAX_TIMEOUT) < 0 ? doubled : MAX_TIMEOUT;
                executor.execute(() -> read(next));
              }
            });
  }
}
