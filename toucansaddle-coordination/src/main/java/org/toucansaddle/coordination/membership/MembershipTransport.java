package org.toucansaddle.coordination.membership;

/** Sends probes; may lose, delay or duplicate them. Implementations must not block or throw. */
public interface MembershipTransport {

  /** Sends a message to an address asynchronously. */
  void send(String address, ProbeMessage message);

  /** Replaces the connection to an address on which probes are not answered. */
  default void reconnect(String address) {}
}
