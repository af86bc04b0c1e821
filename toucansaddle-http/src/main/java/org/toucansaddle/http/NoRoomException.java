package org.toucansaddle.http;

import java.io.IOException;

/** Failure of a body for which no bytes of a {@link ByteBudget} are left. Immutable. */
public final class NoRoomException extends IOException {

  private static final long serialVersionUID = 1L;

  NoRoomException(long heldBytes) {
    super(
        "The body was not read, since "
            + heldBytes
            + " bytes of others are held; send it later or to another server.");
  }
}
