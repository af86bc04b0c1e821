package org.toucansaddle.coordination.replication;

import java.util.Objects;

/**
 * Identity of one replica: the name of its VM and a random number generated when its data folder
 * was created.
 *
 * <p>A replica whose disk was wiped has the same name but a different {@code folderId}, and
 * therefore counts as a new replica. Immutable and thread-safe.
 *
 * @param name name of the daemon, unique in the fleet
 * @param folderId random number stored in the data folder when it is created
 */
public record ReplicaId(String name, long folderId) implements Comparable<ReplicaId> {

  /** Validates that the name is not null. */
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
