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
public final class PortAllocator {

  /** Lowest port given out; below are well-known services. */
  static final int MIN_PORT = 12_000;

  /** First port not given out; Linux takes ports from 32,768 on for outgoing connections. */
  static final int END_PORT = 32_000;

  private final Set<Integer> allocated = new HashSet<>();

  /** Returns a free port. */
  public synchronized int allocate() {
    return allocateRange(1);
  }

  /** Returns the first of {@code count} free ports in a row. */
  public synchronized int allocateRange(int count) {
    while (true) {
      int first = ThreadLocalRandom.current().nextInt(MIN_PORT, END_PORT - count + 1);
      if (isRangeFree(first, count)) {
        for (int i = 0; i < count; i++) {
          allocated.add(first + i);
        }
        return first;
      }
    }
  }

  private boolean isRangeFree(int first, int count) {
    for (int port = first; port < first + count; port++) {
      if (allocated.contains(port) || !isFree(port)) {
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
