package org.toucansaddle.standins.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Allocates free ports on loopback and never returns a port twice.
 *
 * <p>All ports lie below the range of ephemeral ports. The system therefore cannot assign a port to
 * an outgoing connection between its allocation and the moment a process binds it. Other processes
 * that bind fixed ports are not excluded. Thread-safe.
 */
public final class PortAllocator {

  /** Lowest port to allocate; many well-known services listen below it. */
  static final int MIN_PORT = 12_000;

  /** Upper limit, exclusive; the ephemeral ports of Linux start at 32,768 by default. */
  static final int END_PORT = 32_000;

  private final Set<Integer> allocated = new HashSet<>();

  /** Allocates a free port. */
  public synchronized int allocate() {
    return allocateRange(1);
  }

  /** Allocates {@code count} consecutive free ports and returns the first. */
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
