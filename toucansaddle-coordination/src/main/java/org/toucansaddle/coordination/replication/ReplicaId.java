package org.toucansaddle.coordination.replication;

import java.util.Objects;

/**
 * Identity of one replica: the name of its VM and the random number its data folder was created
 * with.
 *
 * <p>A replica whose disk was wiped has the same name and another {@code folderId}, so it is
 * another replica. Immutable and safe for use by several threads.
 *
 * @param name name of the daemon, unique in the fleet
 * @param folderId random number written to the data folder at its creation
 */
public record ReplicaId(String name, long folderId) implements Comparable<ReplicaId> {

  /** Validates the name. */
  public ReplicaId {
    Objects.requireNonNull(name, "name");
  }

  @Override
  public int compareTo(ReplicaId other) {
    int byName = name.compareTo(other.name);
    return byName != 0 ? byName : Long.compare(folderId, other.folderId);
  }

  @Override
  public String toString() {
    return name + "#" + Long.toHexString(folderId);
  }
}
