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
   * @throws IOException if an address cannot be listened on
   */
  static Daemon start(DaemonSettings settings) throws IOException {
    return new RouterDaemon(settings);
  }

  /** Returns whether the daemon wants callers: its configuration is confirmed and it stays. */
  boolean isReady();

  /**
   * Takes no new work, finishes all requests in flight, leaves the fleet and returns.
   *
   * <p>Cuts off no request.
   */
  void shutDown();

  /** Waits until the daemon has stopped. */
  void awaitStopped() throws InterruptedException;

  /** Stops at once. */
  @Override
  void close();
}
