package org.toucansaddle.coordination.internal.replication;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.SortedSet;
import java.util.TreeSet;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.ReplicaSet;

/** Binary encoding of replica sets in log entries and snapshots. Stateless and thread-safe. */
final class ReplicaSetCodec {

  private static final int MAX_MEMBERS = 1_000;

  private ReplicaSetCodec() {}

  static byte[] encode(ReplicaSet set) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      writeIds(out, set.voters());
      writeIds(out, set.learners());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes a replica set.
   *
   * @throws UncheckedIOException if the bytes are truncated or a count is out of range
   */
  static ReplicaSet decode(byte[] bytes) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
      return new ReplicaSet(readIds(in), readIds(in));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void writeIds(DataOutputStream out, SortedSet<ReplicaId> ids) throws IOException {
    out.writeInt(ids.size());
    for (ReplicaId id : ids) {
      out.writeUTF(id.name());
      out.writeLong(id.folderId());
    }
  }

  private static SortedSet<ReplicaId> readIds(DataInputStream in) throws IOException {
    int count = in.readInt();
    if (count < 0 || count > MAX_MEMBERS) {
      throw new IOException(
          "invalid replica set: " + count + " members, the maximum is " + MAX_MEMBERS);
    }
    SortedSet<ReplicaId> ids = new TreeSet<>();
    for (int i = 0; i < count; i++) {
      ids.add(new ReplicaId(in.readUTF(), in.readLong()));
    }
    return ids;
  }
}
