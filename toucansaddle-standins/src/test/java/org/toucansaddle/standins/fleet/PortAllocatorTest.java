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

  /**
   * Guards against ports in the ephemeral range: an outgoing connection could take such a port
   * after its allocation and before a router binds it.
   */
  @Test
  public void shouldAllocatePortsThatOutgoingConnectionsDoNotUse() throws IOException {
    PortAllocator ports = new PortAllocator();
    Set<Integer> allocated = new HashSet<>();
    for (int i = 0; i < PORTS; i++) {
      allocated.add(ports.allocate());
    }
    List<Socket> outgoing = new ArrayList<>();
    try (ServerSocket server = new ServerSocket(0, CONNECTIONS, loopback())) {
      for (int i = 0; i < CONNECTIONS; i++) {
        outgoing.add(new Socket(loopback(), server.getLocalPort()));
      }
      assertThat(outgoing).extracting(Socket::getLocalPort).doesNotContainAnyElementsOf(allocated);
      assertThat(allocated)
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
    try (ServerSocket inUse = new ServerSocket()) {
      inUse.bind(new InetSocketAddress(loopback(), ports.allocate()));
      for (int i = 0; i < PORTS; i++) {
        assertThat(ports.allocate()).isNotIn(first, first + 1, first + 2, inUse.getLocalPort());
      }
    }
  }

  private static InetAddress loopback() {
    return InetAddress.getLoopbackAddress();
  }
}
