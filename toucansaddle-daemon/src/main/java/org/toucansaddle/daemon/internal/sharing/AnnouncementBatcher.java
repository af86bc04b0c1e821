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
 * Batches the announcements of upstreams for one dispatcher.
 *
 * <p>An announcement whose content has not changed since it was last sent is sent as a hash only,
 * which keeps the batches small. Not thread-safe.
 */
final class AnnouncementBatcher {

  private record PendingAnnouncement(Announcement announcement, long receivedAtMillis) {}

  private final Map<String, Integer> sentHashes = new HashMap<>();
  private final Map<String, PendingAnnouncement> pending = new LinkedHashMap<>();

  /** Returns the hash of an announcement's content, excluding its load and age. */
  static int contentHash(Announcement announcement) {
    Announcement content = announcement.toBuilder().clearRunning().clearAgeMillis().build();
    return (int) Hashing.komihash5_0().hashBytesToLong(content.toByteArray());
  }

  private static String key(Announcement announcement) {
    return announcement.getPool() + "|" + announcement.getId();
  }

  /**
   * Adds an announcement, in place of an earlier one of the same upstream.
   *
   * @return whether its content is new to the dispatcher, so that it should be sent at once
   */
  boolean add(Announcement announcement, long nowMillis) {
    pending.put(key(announcement), new PendingAnnouncement(announcement, nowMillis));
    Integer previousHash = sentHashes.get(key(announcement));
    return previousHash == null || previousHash != contentHash(announcement);
  }

  /** Marks announcements that the dispatcher has no content for, to be sent in full next time. */
  void resendInFull(List<Integer> hashes) {
    sentHashes.values().removeIf(hashes::contains);
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  /** Returns the age of the oldest pending announcement in milliseconds; 0 if there is none. */
  long oldestAgeMillis(long nowMillis) {
    return pending.values().stream()
        .mapToLong(p -> nowMillis - p.receivedAtMillis())
        .max()
        .orElse(0);
  }

  /** Returns the pending announcements as a batch and removes them. */
  AnnouncementBatch drain(long nowMillis) {
    AnnouncementBatch.Builder batch = AnnouncementBatch.newBuilder();
    long oldestAgeMillis = 0;
    List<PendingAnnouncement> drained = new ArrayList<>(pending.values());
    pending.clear();
    for (PendingAnnouncement item : drained) {
      int hash = contentHash(item.announcement());
      Integer previousHash = sentHashes.put(key(item.announcement()), hash);
      long ageMillis = Math.max(0, nowMillis - item.receivedAtMillis());
      if (previousHash != null && previousHash == hash) {
        batch.addUnchanged(hash);
        oldestAgeMillis = Math.max(oldestAgeMillis, ageMillis);
      } else {
        batch.addChanged(item.announcement().toBuilder().setAgeMillis((int) ageMillis));
      }
    }
    return batch.setAgeMillis((int) oldestAgeMillis).build();
  }
}
