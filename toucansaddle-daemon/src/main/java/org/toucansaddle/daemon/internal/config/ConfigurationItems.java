package org.toucansaddle.daemon.internal.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.toucansaddle.protocol.generated.ConfigurationDelta;
import org.toucansaddle.protocol.generated.ConfigurationItem;

/**
 * All items of a configuration by key, deleted ones included, so that changes since a revision can
 * be told.
 *
 * <p>Immutable. The revision never falls from one set of items to a set made from it.
 *
 * @param revision revision of the newest change
 * @param oldestDeltaRevision least revision from which changes can be told
 * @param items items by key; see {@link #key}
 */
public record ConfigurationItems(
    long revision, long oldestDeltaRevision, SortedMap<String, ConfigurationItem> items) {

  private static final int MAX_DELETED_ITEMS = 500;

  /** Returns items of revision 0. */
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

  /** Returns the key of a class of work. */
  public static String classKey(String name) {
    return "class/" + name;
  }

  /** Returns the key of a client account. */
  public static String accountKey(String name) {
    return "account/" + name;
  }

  /** Returns the revision that last changed a key; 0 if there is no such item. */
  public long revisionOf(String key) {
    ConfigurationItem item = items.get(key);
    return item == null || item.getDeleted() ? 0 : item.getRevision();
  }

  /** Returns the items with one changed; its revision becomes the newest. */
  public ConfigurationItems with(ConfigurationItem item) {
    SortedMap<String, ConfigurationItem> next = new TreeMap<>(items);
    next.put(key(item), item);
    return withDeletedItemsPruned(item.getRevision(), oldestDeltaRevision, next);
  }

  /** Returns the items after a delta, or this object if the delta does not reach beyond it. */
  public ConfigurationItems with(ConfigurationDelta delta) {
    if (delta.getToRevision() <= revision || !canApply(delta)) {
      return this;
    }
    SortedMap<String, ConfigurationItem> next = new TreeMap<>();
    long oldest = delta.getToRevision();
    if (!delta.getComplete()) {
      next.putAll(items);
      oldest = oldestDeltaRevision;
    }
    delta.getItemsList().forEach(item -> next.put(key(item), item));
    return withDeletedItemsPruned(delta.getToRevision(), oldest, next);
  }

  /** Returns whether a delta starts at or before this revision. */
  public boolean canApply(ConfigurationDelta delta) {
    return delta.getComplete() || delta.getFromRevision() <= revision;
  }

  /** Returns the changes after a revision, or all items if they cannot be told. */
  public ConfigurationDelta deltaSince(long from) {
    boolean complete = from < oldestDeltaRevision || from > revision;
    ConfigurationDelta.Builder delta =
        ConfigurationDelta.newBuilder()
            .setFromRevision(complete ? 0 : from)
            .setToRevision(revision)
            .setComplete(complete);
    for (ConfigurationItem item : items.values()) {
      boolean wanted = complete ? !item.getDeleted() : item.getRevision() > from;
      if (wanted) {
        delta.addItems(item);
      }
    }
    return delta.build();
  }

  private static ConfigurationItems withDeletedItemsPruned(
      long revision, long oldest, SortedMap<String, ConfigurationItem> items) {
    List<ConfigurationItem> deleted = new ArrayList<>();
    items.values().stream().filter(ConfigurationItem::getDeleted).forEach(deleted::add);
    long newOldest = oldest;
    if (deleted.size() > MAX_DELETED_ITEMS) {
      deleted.sort(Comparator.comparingLong(ConfigurationItem::getRevision));
      for (ConfigurationItem item : deleted.subList(0, deleted.size() - MAX_DELETED_ITEMS)) {
        items.remove(key(item));
        newOldest = Math.max(newOldest, item.getRevision());
      }
    }
    return new ConfigurationItems(revision, newOldest, items);
  }
}
