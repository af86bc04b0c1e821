package org.toucansaddle.usage;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** TCP relay on loopback that simulates network partitions. Thread-safe. */
final class PartitionRelay implements AutoCloseable {

  private static final int BUFFER_BYTES = 16 * 1024;

  private final String target;
  private final ServerSocket server;
  private final List<Connection> connections = new CopyOnWriteArrayList<>();
  private volatile boolean partitioned;

  /** A relayed connection; once blackholed it stays open and drops all data in both directions. */
  private static final class Connection {
    private final Socket clientSocket;
    private final Socket targetSocket;
    private volatile boolean blackholed;

    Connection(Socket clientSocket, Socket targetSocket) {
      this.clientSocket = clientSocket;
      this.targetSocket = targetSocket;
    }
  }

  PartitionRelay(String target) throws IOException {
    this.target = target;
    this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    startThread(this::acceptConnections);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Drops all further data on the open connections; new connections work. */
  void blackholeOpenConnections() {
    connections.forEach(connection -> connection.blackholed = true);
  }

  /** Drops all data on open and new connections until {@link #heal}. */
  void partition() {
    partitioned = true;
    blackholeOpenConnections();
  }

  /** Ends the partition for new connections; connections opened before stay blackholed. */
  void heal() {
    partitioned = false;
  }

  private static void startThread(Runnable action) {
    Thread thread = new Thread(action, "partition-relay");
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptConnections() {
    while (!server.isClosed()) {
      try {
        Socket clientSocket = server.accept();
        int colon = target.lastIndexOf(':');
        Socket targetSocket =
            new Socket(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
        clientSocket.setTcpNoDelay(true);
        targetSocket.setTcpNoDelay(true);
        Connection connection = new Connection(clientSocket, targetSocket);
        connection.blackholed = partitioned;
        connections.add(connection);
        startThread(() -> forward(connection, clientSocket, targetSocket));
        startThread(() -> forward(connection, targetSocket, clientSocket));
      } catch (IOException e) {
        // The target is not listening yet, or the relay has been closed.
      }
    }
  }

  private static void forward(Connection connection, Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream()) {
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (!connection.blackholed) {
          out.write(buffer, 0, count);
        }
      }
    } catch (IOException e) {
      // One peer closed the connection; closing the streams closes the other side.
    }
  }

  @Override
  public void close() {
    try {
      server.close();
      for (Connection connection : connections) {
        connection.clientSocket.close();
        connection.targetSocket.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
