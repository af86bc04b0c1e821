package org.toucansaddle.standins.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Finds free ports on loopback, each given out once. Thread-safe. */
public final class FreePorts {

  private final Set<Integer> given = new HashSet<>();

  /** Returns a free port. */
  public synchronized int next() {
    while (true) {
      int port = probe();
      if (given.add(port)) {
        return port;
      }
    }
  }

  /** Returns the first of {@code count} free ports in a row. */
  public synchronized int nextRun(int count) {
    while (true) {
      int first = probe();
      boolean free = true;
      for (int i = 0; i < count && free; i++) {
        free = !given.contains(first + i) && isFree(first + i);
      }
      if (free) {
        for (int i = 0; i < count; i++) {
          given.add(first + i);
        }
        return first;
      }
    }
  }

  private static int probe() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException | IllegalArgumentException e) {
      return false;
    }
  }
}
