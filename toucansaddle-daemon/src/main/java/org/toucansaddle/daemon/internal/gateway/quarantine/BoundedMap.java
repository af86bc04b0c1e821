package org.toucansaddle.daemon.internal.gateway.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/** Map that evicts the entry which was added first once it has too many. Not thread-safe. */
final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1;

  private final int capacity;

  BoundedMap(int capacity) {
    this.capacity = capacity;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > capacity;
  }
}
