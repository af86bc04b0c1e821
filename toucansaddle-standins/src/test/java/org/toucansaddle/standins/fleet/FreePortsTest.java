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

/** Tests of {@link FreePorts}. */
public class FreePortsTest {

  private static final int PORTS = 40;
  private static final int CONNECTIONS = 400;

  /** An outgoing connection once took a port between its discovery and the daemon's bind. */
  @Test
  public void shouldGivePortsThatOutgoingConnectionsDoNotTake() throws IOException {
    FreePorts ports = new FreePorts();
    Set<Integer> found = new HashSet<>();
    for (int i = 0; i < PORTS; i++) {
      found.add(ports.next());
    }
    List<Socket> outgoing = new ArrayList<>();
    try (ServerSocket server = new ServerSocket(0, CONNECTIONS, loopback())) {
      for (int i = 0; i < CONNECTIONS; i++) {
        outgoing.add(new Socket(loopback(), server.getLocalPort()));
      }
      assertThat(outgoing).extracting(Socket::getLocalPort).doesNotContainAnyElementsOf(found);
      assertThat(found).allMatch(port -> port >= FreePorts.LOWEST && port < FreePorts.END);
    } finally {
      for (Socket socket : outgoing) {
        socket.close();
      }
    }
  }

  @Test
  public void shouldGiveEachPortOnceAndPassOverTakenOnes() throws IOException {
    FreePorts ports = new FreePorts();
    int first = ports.nextRun(3);
    try (ServerSocket taken = new ServerSocket()) {
      taken.bind(new InetSocketAddress(loopback(), ports.next()));
      for (int i = 0; i < PORTS; i++) {
        assertThat(ports.next()).isNotIn(first, first + 1, first + 2, taken.getLocalPort());
      }
    }
  }

  private static InetAddress loopback() {
    return InetAddress.getLoopbackAddress();
  }
}
