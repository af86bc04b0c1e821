package org.toucansaddle.daemon.internal.gateway.origin;

import java.util.Arrays;
import java.util.Optional;

/**
 * Origins in the order in which they were added, with an index by request.
 *
 * <p>Each addition gets the next change number. An entry that was removed from the middle keeps its
 * place, without an origin, until it is the oldest one. All operations but {@link #growIfFull} and
 * {@link #copyAfter} take constant time. The arrays take 28 bytes an entry. Not thread-safe.
 */
final class OriginRing {

  private static final int INITIAL_CAPACITY = 1_024;
  private static final int NO_SLOT = -1;

  private long[] requests = new long[INITIAL_CAPACITY];
  private long[] addedAt = new long[INITIAL_CAPACITY];
  private StreamOrigin[] origins = new StreamOrigin[INITIAL_CAPACITY];

  /** For each hash bucket the slot of its latest entry. */
  private int[] latestInBucket = emptyBuckets(INITIAL_CAPACITY);

  /** For each slot the slot of the entry that was added to the same bucket before. */
  private int[] previousInBucket = new int[INITIAL_CAPACITY];

  private long firstChange = 1;
  private long lastChange;
  private int size;

  /** Entries at the time of a copy, in the order of their addition. */
  record Entries(long[] requests, StreamOrigin[] origins) {}

  private static int[] emptyBuckets(int capacity) {
    int[] buckets = new int[capacity];
    Arrays.fill(buckets, NO_SLOT);
    return buckets;
  }

  /** Returns the number of the last addition; 0 before the first one. */
  long lastChange() {
    return lastChange;
  }

  /** Returns the number of entries. */
  int size() {
    return size;
  }

  /** Returns the number of places from the oldest entry to the latest one. */
  int length() {
    return (int) (lastChange - firstChange + 1);
  }

  /** Returns when the oldest entry was added; to be called only if there is one. */
  long oldestAddedAt() {
    return addedAt[slot(firstChange)];
  }

  /** Adds an entry. The request must not have one. */
  void add(long request, StreamOrigin origin, long now) {
    growIfFull();
    lastChange++;
    put(slot(lastChange), request, origin, now);
    size++;
  }

  private void put(int slot, long request, StreamOrigin origin, long at) {
    requests[slot] = request;
    origins[slot] = origin;
    addedAt[slot] = at;
    int bucket = slot(request);
    previousInBucket[slot] = latestInBucket[bucket];
    latestInBucket[bucket] = slot;
  }

  /** Returns the slot of a change, or the bucket of a request, whose low bits are a hash. */
  private int slot(long number) {
    return (int) (number & (requests.length - 1));
  }

  private void growIfFull() {
    if (length() < requests.length) {
      return;
    }
    long[] oldRequests = requests;
    long[] oldAddedAt = addedAt;
    StreamOrigin[] oldOrigins = origins;
    int capacity = 2 * oldRequests.length;
    requests = new long[capacity];
    addedAt = new long[capacity];
    origins = new StreamOrigin[capacity];
    latestInBucket = emptyBuckets(capacity);
    previousInBucket = new int[capacity];
    for (long change = firstChange; change <= lastChange; change++) {
      int old = (int) (change & (oldRequests.length - 1));
      if (oldOrigins[old] != null) {
        put(slot(change), oldRequests[old], oldOrigins[old], oldAddedAt[old]);
      } else {
        addedAt[slot(change)] = oldAddedAt[old];
      }
    }
  }

  /** Returns the origin of a request that was added at or after a time. */
  Optional<StreamOrigin> find(long request, long earliestAddedAt) {
    int slot = latestInBucket[slot(request)];
    while (slot != NO_SLOT && requests[slot] != request) {
      slot = previousInBucket[slot];
    }
    return slot != NO_SLOT && addedAt[slot] - earliestAddedAt >= 0
        ? Optional.of(origins[slot])
        : Optional.empty();
  }

  /** Removes the entry of a request and returns its origin; empty if there is none. */
  Optional<StreamOrigin> remove(long request) {
    int bucket = slot(request);
    int later = NO_SLOT;
    int slot = latestInBucket[bucket];
    while (slot != NO_SLOT && requests[slot] != request) {
      later = slot;
      slot = previousInBucket[slot];
    }
    if (slot == NO_SLOT) {
      return Optional.empty();
    }
    if (later == NO_SLOT) {
      latestInBucket[bucket] = previousInBucket[slot];
    } else {
      previousInBucket[later] = previousInBucket[slot];
    }
    Optional<StreamOrigin> origin = Optional.of(origins[slot]);
    origins[slot] = null;
    size--;
    return origin;
  }

  /** Removes the oldest place and returns its origin; empty if its entry was removed before. */
  Optional<StreamOrigin> removeOldest() {
    int slot = slot(firstChange);
    Optional<StreamOrigin> origin =
        origins[slot] == null ? Optional.empty() : remove(requests[slot]);
    firstChange++;
    return origin;
  }

  /** Copies the entries that were added after a change, and at or after a time. */
  Entries copyAfter(long change, long earliestAddedAt) {
    long from = Math.max(change + 1, firstChange);
    int capacity = (int) Math.max(0, lastChange - from + 1);
    long[] copiedRequests = new long[capacity];
    StreamOrigin[] copiedOrigins = new StreamOrigin[capacity];
    int count = 0;
    for (long next = from; next <= lastChange; next++) {
      int slot = slot(next);
      if (origins[slot] != null && addedAt[slot] - earliestAddedAt >= 0) {
        copiedRequests[count] = requests[slot];
        copiedOrigins[count] = origins[slot];
        count++;
      }
    }
    return new Entries(Arrays.copyOf(copiedRequests, count), Arrays.copyOf(copiedOrigins, count));
  }
}
