package org.toucansaddle.daemon.internal.gateway.control;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.toucansaddle.coordination.replication.StateMachine;
import org.toucansaddle.daemon.gateway.StoredDocument;

/**
 * Replicated state of a gateway: the configuration document with the highest version.
 *
 * <p>Deterministic. Not thread-safe: all calls are made on the replica's thread, which also passes
 * each new document to the consumer.
 */
public final class DocumentStateMachine implements StateMachine {

  private static final byte REJECTED = 0;
  private static final byte ACCEPTED = 1;

  private final Consumer<StoredDocument> onDocument;
  private StoredDocument current = StoredDocument.none();

  /** Creates the initial state, without a document. */
  public DocumentStateMachine(Consumer<StoredDocument> onDocument) {
    this.onDocument = onDocument;
  }

  /**
   * Result of a command that stores a document. Immutable.
   *
   * @param accepted whether the document or a higher version is in force; if not, its version is in
   *     use with other content
   * @param currentVersion version in force
   */
  public record Outcome(boolean accepted, long currentVersion) {

    /** Decodes the result of {@link DocumentStateMachine#apply}. */
    public static Outcome decode(byte[] bytes) {
      ByteBuffer in = ByteBuffer.wrap(bytes);
      return new Outcome(in.get() == ACCEPTED, in.getLong());
    }

    private byte[] encode() {
      byte code = accepted ? ACCEPTED : REJECTED;
      return ByteBuffer.allocate(1 + Long.BYTES).put(code).putLong(currentVersion).array();
    }
  }

  /** Returns the command that stores a document. */
  public static byte[] command(StoredDocument document) {
    return DocumentCodec.toCommand(document);
  }

  @Override
  public byte[] apply(long index, byte[] command) {
    StoredDocument proposed = DocumentCodec.fromCommand(command);
    boolean accepted = proposed.version() != current.version() || proposed.isSameAs(current);
    if (proposed.version() > current.version()) {
      replace(proposed);
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
