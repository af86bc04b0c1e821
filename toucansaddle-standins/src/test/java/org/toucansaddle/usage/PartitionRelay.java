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

/** A TCP relay on loopback that can lose what goes through it. Thread-safe. */
final class PartitionRelay implements AutoCloseable {

  private static final int BUFFER_BYTES = 16 * 1024;

  private final String target;
  private final ServerSocket server;
  private final List<Link> links = new CopyOnWriteArrayList<>();
  private volatile boolean cut;

  /** One connection; once silent it stays open and loses every byte, both ways. */
  private static final class Link {
    private final Socket near;
    private final Socket far;
    private volatile boolean silent;

    Link(Socket near, Socket far) {
      this.near = near;
      this.far = far;
    }
  }

  PartitionRelay(String target) throws IOException {
    this.target = target;
    this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Open connections fall silent for good; new ones work. */
  void blackholeOpenConnections() {
    links.forEach(link -> link.silent = true);
  }

  /** Nothing passes any more, neither on open connections nor on new ones. */
  void partition() {
    cut = true;
    blackholeOpenConnections();
  }

  /** New connections work again. */
  void heal() {
    cut = false;
  }

  private static void start(Runnable action) {
    Thread thread = new Thread(action, "cut-relay");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket near = server.accept();
        int colon = target.lastIndexOf(':');
        Socket far =
            new Socket(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        Link link = new Link(near, far);
        link.silent = cut;
        links.add(link);
        start(() -> pump(link, near, far));
        start(() -> pump(link, far, near));
      } catch (IOException e) {
        // The target does not listen yet, or the relay was closed.
      }
    }
  }

  private static void pump(Link link, Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream()) {
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (!link.silent) {
          out.write(buffer, 0, count);
        }
      }
    } catch (IOException e) {
      // One end closed the connection; the streams close the other.
    }
  }

  @Override
  public void close() {
    try {
      server.close();
      for (Link link : links) {
        link.near.close();
        link.far.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
