package org.toucansaddle.coordination.membership;

import java.util.List;

/**
 * A message between two members. Immutable.
 *
 * @param kind type of the message
 * @param sequence number that matches a response to its probe
 * @param subject for {@link Kind#PING_REQUEST} the member to probe; for a relayed ping and its
 *     acknowledgement the address and sequence number of the requester; otherwise empty
 * @param updates member states that the sender disseminates
 */
public record ProbeMessage(Kind kind, long sequence, String subject, List<Member> updates) {

  /** Type of a message. */
  public enum Kind {
    /** Requests an {@link #ACK}. */
    PING,
    /** Acknowledges a {@link #PING}. */
    ACK,
    /** Requests the receiver to probe the subject. */
    PING_REQUEST,
    /** Introduces the sender to a seed. */
    JOIN,
    /** Response to a {@link #JOIN} with all members. */
    JOIN_REPLY
  }

  /** Copies the updates defensively. */
  public ProbeMessage {
    updates = List.copyOf(updates);
  }
}
