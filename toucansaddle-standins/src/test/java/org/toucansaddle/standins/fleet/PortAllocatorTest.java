package org.toucansaddle.standins.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests of {@link PortAllocator}. */
public class PortAllocatorTest {

  private static final int PORTS = 40;
  private static final int CONNECTIONS = 400;

  /** An outgoing connection once took a port between its discovery and the daemon's bind. */
  @Test
  public void shouldAllocatePortsThatOutgoingConnectionsDoNotUse() throws IOException {
    PortAllocator ports = new PortAllocator();
    Set<Integer> found = new HashSet<>();
    for (int i = 0; i < PORTS; i++) {
      found.add(ports.allocate());
    }
    List<Socket> outgoing = new ArrayList<>();
    try (ServerSocket server = new ServerSocket(0, CONNECTIONS, loopback())) {
      for (int i = 0; i < CONNECTIONS; i++) {
        outgoing.add(new Socket(loopback(), server.getLocalPort()));
      }
      assertThat(outgoing).extracting(Socket::getLocalPort).doesNotContainAnyElementsOf(found);
      assertThat(found)
          .allMatch(port -> port >= PortAllocator.MIN_PORT && port < PortAllocator.END_PORT);
    } finally {
      for (Socket socket : outgoing) {
        socket.close();
      }
    }
  }

  @Test
  public void shouldAllocateEachPortOnceAndSkipPortsInUse() throws IOException {
    PortAllocator ports = new PortAllocator();
    int first = ports.allocateRange(3);
    try (ServerSocket taken = new ServerSocket()) {
      taken.bind(new InetSocketAddress(loopback(), ports.allocate()));
      for (int i = 0; i < PORTS; i++) {
        assertThat(ports.allocate()).isNotIn(first, first + 1, first + 2, taken.getLocalPort());
      }
    }
  }

  private static InetAddress loopback() {
    return InetAddress.getLoopbackAddress();
  }
}
