package org.toucansaddle.daemon.internal.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.toucansaddle.protocol.generated.ConfigurationDelta;
import org.toucansaddle.protocol.generated.ConfigurationItem;

/**
 * All items of a configuration by key.
 *
 * <p>Deleted items are kept as tombstones, so that a delta also reports deletions. Once the oldest
 * tombstones are pruned, deltas from earlier revisions are complete copies. Immutable. Items
 * derived from other items never have a lower revision.
 *
 * @param revision revision of the newest change
 * @param oldestDeltaRevision lowest revision from which an incremental delta can be built
 * @param items items by key, including tombstones; see {@link #key}
 */
public record ConfigurationItems(
    long revision, long oldestDeltaRevision, SortedMap<String, ConfigurationItem> items) {

  private static final int MAX_TOMBSTONES = 500;

  /** Returns an empty configuration at revision 0. */
  public static ConfigurationItems empty() {
    return new ConfigurationItems(0, 0, new TreeMap<>());
  }

  /** Returns the key of an item. */
  public static String key(ConfigurationItem item) {
    if (item.getDeleted()) {
      return item.getDeletedKey();
    }
    return item.hasWorkClass()
        ? classKey(item.getWorkClass().getName())
        : accountKey(item.getAccount().getName());
  }

  /** Returns the key of a work class. */
  public static String classKey(String name) {
    return "class/" + name;
  }

  /** Returns the key of a client account. */
  public static String accountKey(String name) {
    return "account/" + name;
  }

  /** Returns the revision that last changed an item; 0 if it does not exist or is deleted. */
  public long revisionOf(String key) {
    ConfigurationItem item = items.get(key);
    return item == null || item.getDeleted() ? 0 : item.getRevision();
  }

  /** Returns these items with one added or replaced; its revision becomes the newest. */
  public ConfigurationItems with(ConfigurationItem item) {
    SortedMap<String, ConfigurationItem> next = new TreeMap<>(items);
    next.put(key(item), item);
    return withTombstonesPruned(item.getRevision(), oldestDeltaRevision, next);
  }

  /** Returns these items after a delta; this object if the delta is outdated or has a gap. */
  public ConfigurationItems with(ConfigurationDelta delta) {
    if (delta.getToRevision() <= revision || !canApply(delta)) {
      return this;
    }
    SortedMap<String, ConfigurationItem> next = new TreeMap<>();
    long newOldestDeltaRevision = delta.getToRevision();
    if (!delta.getComplete()) {
      next.putAll(items);
      newOldestDeltaRevision = oldestDeltaRevision;
    }
    delta.getItemsList().forEach(item -> next.put(key(item), item));
    return withTombstonesPruned(delta.getToRevision(), newOldestDeltaRevision, next);
  }

  /** Returns whether a delta is complete or starts at or before this revision. */
  public boolean canApply(ConfigurationDelta delta) {
    return delta.getComplete() || delta.getFromRevision() <= revision;
  }

  /** Returns the changes after a revision, or a complete delta if they are no longer known. */
  public ConfigurationDelta deltaSince(long fromRevision) {
    boolean complete = fromRevision < oldestDeltaRevision || fromRevision > revision;
    ConfigurationDelta.Builder delta =
        ConfigurationDelta.newBuilder()
            .setFromRevision(complete ? 0 : fromRevision)
            .setToRevision(revision)
            .setComplete(complete);
    for (ConfigurationItem item : items.values()) {
      boolean included = complete ? !item.getDeleted() : item.getRevision() > fromRevision;
      if (included) {
        delta.addItems(item);
      }
    }
    return delta.build();
  }

  private static ConfigurationItems withTombstonesPruned(
      long revision, long oldestDeltaRevision, SortedMap<String, ConfigurationItem> items) {
    List<ConfigurationItem> tombstones = new ArrayList<>();
    items.values().stream().filter(ConfigurationItem::getDeleted).forEach(tombstones::add);
    long newOldestDeltaRevision = oldestDeltaRevision;
    if (tombstones.size() > MAX_TOMBSTONES) {
      tombstones.sort(Comparator.comparingLong(ConfigurationItem::getRevision));
      for (ConfigurationItem item : tombstones.subList(0, tombstones.size() - MAX_TOMBSTONES)) {
        items.remove(key(item));
        newOldestDeltaRevision = Math.max(newOldestDeltaRevision, item.getRevision());
      }
    }
    return new ConfigurationItems(revision, newOldestDeltaRevision, items);
  }
}
