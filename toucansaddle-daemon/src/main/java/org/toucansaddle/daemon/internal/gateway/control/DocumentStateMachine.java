package org.toucansaddle.daemon.internal.gateway.control;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.toucansaddle.coordination.replication.StateMachine;
import org.toucansaddle.daemon.gateway.StoredDocument;

/**
 * Replicated state of a gateway: the document with the highest version.
 *
 * <p>Deterministic. Not thread-safe: the replica's thread makes all calls; each new document is
 * given to the consumer on that thread.
 */
public final class DocumentStateMachine implements StateMachine {

  private static final byte REFUSED = 0;
  private static final byte ACCEPTED = 1;

  private final Consumer<StoredDocument> onDocument;
  private StoredDocument current = StoredDocument.none();

  /** Creates the initial state. */
  public DocumentStateMachine(Consumer<StoredDocument> onDocument) {
    this.onDocument = onDocument;
  }

  /**
   * What became of a document that was sent. Immutable.
   *
   * @param accepted whether it is in force or a higher version is; otherwise other content holds
   *     its version
   * @param currentVersion version in force
   */
  public record Outcome(boolean accepted, long currentVersion) {

    /** Returns the outcome that {@link DocumentStateMachine#apply} encoded. */
    public static Outcome decode(byte[] bytes) {
      ByteBuffer in = ByteBuffer.wrap(bytes);
      return new Outcome(in.get() == ACCEPTED, in.getLong());
    }

    private byte[] encode() {
      byte code = accepted ? ACCEPTED : REFUSED;
      return ByteBuffer.allocate(1 + Long.BYTES).put(code).putLong(currentVersion).array();
    }
  }

  /** Returns the command that stores a document. */
  public static byte[] command(StoredDocument document) {
    return DocumentCodec.toCommand(document);
  }

  @Override
  public byte[] apply(long index, byte[] command) {
    StoredDocument sent = DocumentCodec.fromCommand(command);
    boolean accepted = sent.version() != current.version() || sent.isSameAs(current);
    if (sent.version() > current.version()) {
      replace(sent);
    }
    return new Outcome(accepted, current.version()).encode();
  }

  private void replace(StoredDocument document) {
    current = document;
    onDocument.accept(document);
  }

  @Override
  public byte[] snapshot() {
    return command(current);
  }

  @Override
  public void restore(byte[] state) {
    StoredDocument restored =
        state.length == 0 ? StoredDocument.none() : DocumentCodec.fromCommand(state);
    if (restored.version() > 0) {
      replace(restored);
    } else {
      current = restored;
    }
  }
}
