package org.toucansaddle.coordination.membership;

import java.util.List;

/**
 * A message between two members. Immutable.
 *
 * @param kind what it asks or answers
 * @param sequence number by which an answer names its probe
 * @param subject for {@link Kind#PING_REQUEST} the member to probe; for a relayed ping and its
 *     answer the member that asked; else empty
 * @param updates news about members
 */
public record ProbeMessage(Kind kind, long sequence, String subject, List<Member> updates) {

  /** What a message asks or answers. */
  public enum Kind {
    /** Asks for an {@link #ACK}. */
    PING,
    /** Answers a {@link #PING}. */
    ACK,
    /** Asks to probe the subject. */
    PING_REQUEST,
    /** Introduces the sender to a seed. */
    JOIN,
    /** Answers a {@link #JOIN} with all members. */
    JOIN_REPLY
  }

  /** Copies the updates. */
  public ProbeMessage {
    updates = List.copyOf(updates);
  }
}
