package org.toucansaddle.coordination.membership;

/** Sends probes; may lose, delay or repeat them. Must not block or throw. */
public interface MembershipTransport {

  /** Hands a message over for delivery to an address. */
  void send(String address, ProbeMessage message);

  /** Replaces the connection to an address, because probes on it get no answer. */
  default void reconnect(String address) {}
}
