package org.toucansaddle.standins.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free ports on loopback, each given out once.
 *
 * <p>All ports lie below the range that the system takes for outgoing connections, so that none is
 * taken between the moment it was found free and the moment a daemon binds it. Thread-safe.
 */
public final class FreePorts {

  /** Lowest port given out; below are well-known services. */
  static final int LOWEST = 12_000;

  /** First port not given out; Linux takes ports from 32,768 on for outgoing connections. */
  static final int END = 32_000;

  private final Set<Integer> given = new HashSet<>();

  /** Returns a free port. */
  public synchronized int next() {
    return nextRun(1);
  }

  /** Returns the first of {@code count} free ports in a row. */
  public synchronized int nextRun(int count) {
    while (true) {
      int first = ThreadLocalRandom.current().nextInt(LOWEST, END - count + 1);
      if (isFreeRun(first, count)) {
        for (int i = 0; i < count; i++) {
          given.add(first + i);
        }
        return first;
      }
    }
  }

  private boolean isFreeRun(int first, int count) {
    for (int port = first; port < first + count; port++) {
      if (given.contains(port) || !isFree(port)) {
        return false;
      }
    }
    return true;
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
