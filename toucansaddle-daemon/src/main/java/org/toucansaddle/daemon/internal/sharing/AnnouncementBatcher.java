package org.toucansaddle.daemon.internal.sharing;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.toucansaddle.protocol.generated.Announcement;
import org.toucansaddle.protocol.generated.AnnouncementBatch;

/**
 * Collects upstreams' announcements for one dispatcher.
 *
 * <p>An announcement that did not change since it was passed on travels as a hash. Not thread-safe.
 */
final class AnnouncementBatcher {

  private record Pending(Announcement announcement, long receivedAt) {}

  private final Map<String, Integer> passedOn = new HashMap<>();
  private final Map<String, Pending> pending = new LinkedHashMap<>();

  /** Returns the hash that stands for an announcement's content without its load and age. */
  static int contentHash(Announcement announcement) {
    Announcement content = announcement.toBuilder().clearRunning().clearAgeMillis().build();
    return (int) Hashing.komihash5_0().hashBytesToLong(content.toByteArray());
  }

  private static String key(Announcement announcement) {
    return announcement.getPool() + "|" + announcement.getId();
  }

  /** Adds an announcement; returns whether it should be passed on at once. */
  boolean add(Announcement announcement, long now) {
    pending.put(key(announcement), new Pending(announcement, now));
    Integer before = passedOn.get(key(announcement));
    return before == null || before != contentHash(announcement);
  }

  /** Names hashes that the dispatcher does not know, so that they are sent in full next time. */
  void resendInFull(List<Integer> hashes) {
    passedOn.values().removeIf(hashes::contains);
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  /** Returns the time since the oldest announcement collected was received, in milliseconds. */
  long oldestAgeMillis(long now) {
    return pending.values().stream().mapToLong(p -> now - p.receivedAt()).max().orElse(0);
  }

  /** Returns the collected announcements and forgets them. */
  AnnouncementBatch drain(long now) {
    AnnouncementBatch.Builder batch = AnnouncementBatch.newBuilder();
    long oldest = 0;
    List<Pending> all = new ArrayList<>(pending.values());
    pending.clear();
    for (Pending item : all) {
      int hash = contentHash(item.announcement());
      Integer before = passedOn.put(key(item.announcement()), hash);
      long age = Math.max(0, now - item.receivedAt());
      if (before != null && before == hash) {
        batch.addUnchanged(hash);
        oldest = Math.max(oldest, age);
      } else {
        batch.addChanged(item.announcement().toBuilder().setAgeMillis((int) age));
      }
    }
    return batch.setAgeMillis((int) oldest).build();
  }
}
