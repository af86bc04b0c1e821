package org.toucansaddle.http.internal;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** Server on plain sockets with a thread for each connection. Thread-safe. */
public final class RawServer implements AutoCloseable {

  /** Serves one connection, which is closed afterwards. */
  @FunctionalInterface
  public interface Script {
    void serve(Socket socket) throws Exception;
  }

  private final ServerSocket listener;
  private final Script script;
  private final AtomicInteger connections = new AtomicInteger();
  private final ExecutorService threads = Executors.newCachedThreadPool();

  public RawServer(Script script) throws IOException {
    this(0, script);
  }

  /**
   * Starts a server.
   *
   * @param receiveBufferBytes size of the receive buffer of each connection; 0 for the default
   */
  public RawServer(int receiveBufferBytes, Script script) throws IOException {
    this.script = script;
    listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    if (receiveBufferBytes > 0) {
      listener.setReceiveBufferSize(receiveBufferBytes);
    }
    threads.execute(this::accept);
  }

  public String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Returns the number of connections accepted so far. */
  public int connections() {
    return connections.get();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        connections.incrementAndGet();
        threads.execute(() -> serve(socket));
      }
    } catch (IOException e) {
      threads.shutdownNow();
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      script.serve(socket);
    } catch (IOException e) {
      // The client has closed the connection.
      return;
    } catch (Exception e) {
      throw new AssertionError("the script failed", e);
    }
  }

  /** Reads the head of a request; returns false if the client has closed the connection. */
  public static boolean readHead(InputStream in) throws IOException {
    int lineEndBytes = 0;
    while (lineEndBytes < 4) {
      int next = in.read();
      if (next < 0) {
        return false;
      }
      lineEndBytes = next == '\r' || next == '\n' ? lineEndBytes + 1 : 0;
    }
    return true;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    threads.shutdownNow();
  }
}
