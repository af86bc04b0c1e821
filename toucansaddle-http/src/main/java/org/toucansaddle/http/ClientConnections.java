package org.toucansaddle.http;

import io.undertow.client.ClientConnection;
import java.io.IOException;
import org.xnio.IoUtils;

/** Operations on connections of Undertow's client. Stateless and thread-safe. */
public final class ClientConnections {

  private ClientConnections() {}

  /**
   * Closes a connection at once; called on its I/O thread.
   *
   * <p>{@link ClientConnection#close} of a connection with a request under way waits up to ten
   * seconds for data of the server, which until then cannot see that the request is cancelled.
   */
  public static void closeNow(ClientConnection connection) {
    try {
      IoUtils.safeClose(connection.performUpgrade());
    } catch (IOException e) {
      // The connection is closed or closing, which ends the upgrade.
      IoUtils.safeClose(connection);
    }
  }
}
