package org.toucansaddle.daemon;

import java.io.IOException;
import org.toucansaddle.daemon.internal.RouterDaemon;
import org.toucansaddle.daemon.settings.DaemonSettings;

/**
 * A running daemon.
 *
 * <pre>{@code
 * try (Daemon daemon = Daemon.start(SettingsFile.read(path))) {
 *   ...
 *   daemon.shutDown();
 * }
 * }</pre>
 *
 * <p>Thread-safe.
 */
public interface Daemon extends AutoCloseable {

  /**
   * Starts a daemon.
   *
   * @throws IOException if a listen address cannot be bound
   */
  static Daemon start(DaemonSettings settings) throws IOException {
    return new RouterDaemon(settings);
  }

  /**
   * Returns whether the daemon accepts callers: its configuration was confirmed recently and no
   * shutdown has started.
   */
  boolean isReady();

  /**
   * Shuts down gracefully: rejects new requests, completes those in flight, leaves the fleet and
   * returns.
   *
   * <p>Aborts no request. Returns at once if a shutdown has already started.
   */
  void shutDown();

  /** Waits until the daemon has stopped. */
  void awaitStopped() throws InterruptedException;

  /** Stops at once and aborts requests in flight. */
  @Override
  void close();
}
