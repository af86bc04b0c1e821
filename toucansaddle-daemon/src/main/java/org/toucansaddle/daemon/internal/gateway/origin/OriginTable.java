package org.toucansaddle.daemon.internal.gateway.origin;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.toucansaddle.protocol.generated.FindOriginReply;
import org.toucansaddle.protocol.generated.FindOriginRequest;
import org.toucansaddle.protocol.generated.StreamOrigins;

/**
 * Latest origin of each stream, by the hash of the id of the request that began it.
 *
 * <p>A router holds those of its own streams and reports them to all control daemons, which hold
 * those of all routers. Each record gets the next change number, so that a control daemon is sent
 * what it has not received. The latest record of a request counts.
 *
 * <p>Bounded: origins are forgotten after a minute, and the oldest when there are too many of them
 * or of different ones. Thread-safe; only single steps are done under the lock.
 */
public final class OriginTable {

  static final int MAX_ENTRIES = 50_000;
  static final int MAX_DISTINCT_ORIGINS = 1_000;
  static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Old entries that a record removes at most, so that it takes little time. */
  private static final int MAX_EXPIRED_REMOVALS = 16;

  private final LongSupplier clock;
  private final OriginRing ring = new OriginRing();
  private final Map<StreamOrigin, SharedOrigin> distinctOrigins = new HashMap<>();
  private volatile Runnable promptListener = () -> {};

  /** An origin that several entries refer to. */
  private static final class SharedOrigin {
    private final StreamOrigin origin;
    private int entries;

    SharedOrigin(StreamOrigin origin) {
      this.origin = origin;
    }
  }

  /** Creates an empty table; {@code clock} returns nanoseconds. */
  public OriginTable(LongSupplier clock) {
    this.clock = clock;
  }

  /** Sets an action that runs after each record that is to be reported soon. */
  public void onPromptRecord(Runnable listener) {
    promptListener = listener;
  }

  /**
   * Records that a request is sent to an upstream before it has brought an event.
   *
   * @param requestId id that the caller names when it takes the stream up; ignored if empty
   * @param prompt whether to report it at once rather than with the next periodic report
   */
  public void record(String requestId, StreamOrigin origin, boolean prompt) {
    if (requestId.isEmpty()) {
      return;
    }
    record(hash(requestId), origin);
    if (prompt) {
      promptListener.run();
    }
  }

  private synchronized void record(long request, StreamOrigin origin) {
    long now = clock.getAsLong();
    ring.remove(request).ifPresent(this::release);
    removeExpired(now);
    StreamOrigin shared = acquire(origin);
    while (ring.length() >= MAX_ENTRIES) {
      removeOldest();
    }
    ring.add(request, shared, now);
  }

  private void removeExpired(long now) {
    for (int i = 0; i < MAX_EXPIRED_REMOVALS && ring.length() > 0; i++) {
      if (now - ring.oldestAddedAt() <= RETENTION_NANOS) {
        return;
      }
      removeOldest();
    }
  }

  private void removeOldest() {
    ring.removeOldest().ifPresent(this::release);
  }

  private StreamOrigin acquire(StreamOrigin origin) {
    while (distinctOrigins.size() >= MAX_DISTINCT_ORIGINS && !distinctOrigins.containsKey(origin)) {
      removeOldest();
    }
    SharedOrigin shared = distinctOrigins.computeIfAbsent(origin, SharedOrigin::new);
    shared.entries++;
    return shared.origin;
  }

  private void release(StreamOrigin origin) {
    SharedOrigin shared = distinctOrigins.get(origin);
    shared.entries--;
    if (shared.entries == 0) {
      distinctOrigins.remove(origin);
    }
  }

  /** Returns the latest origin of the stream that a request began; empty if it is not known. */
  public Optional<StreamOrigin> find(String requestId) {
    return find(hash(requestId));
  }

  private synchronized Optional<StreamOrigin> find(long request) {
    return ring.find(request, clock.getAsLong() - RETENTION_NANOS);
  }

  /** Answers the question of a router. */
  public FindOriginReply answer(FindOriginRequest question) {
    Map<StreamOrigin, StreamOrigins.Builder> known = new LinkedHashMap<>();
    for (long request : question.getRequestsList()) {
      find(request)
          .ifPresent(
              origin -> known.computeIfAbsent(origin, OriginTable::message).addRequests(request));
    }
    return FindOriginReply.newBuilder().addAllOrigins(build(known)).build();
  }

  /** Returns the number of origins in memory. */
  public synchronized int size() {
    return ring.size();
  }

  /** Returns the number of the last record; 0 before the first one. */
  public synchronized long lastChange() {
    return ring.lastChange();
  }

  /** Returns the latest origins of the requests that were recorded after a change. */
  public List<StreamOrigins> changedAfter(long change) {
    OriginRing.Entries entries = copyAfter(change);
    Map<StreamOrigin, StreamOrigins.Builder> messages = new LinkedHashMap<>();
    for (int i = 0; i < entries.requests().length; i++) {
      messages
          .computeIfAbsent(entries.origins()[i], OriginTable::message)
          .addRequests(entries.requests()[i]);
    }
    return build(messages);
  }

  private static List<StreamOrigins> build(Map<StreamOrigin, StreamOrigins.Builder> messages) {
    return messages.values().stream().map(StreamOrigins.Builder::build).toList();
  }

  private synchronized OriginRing.Entries copyAfter(long change) {
    return ring.copyAfter(change, clock.getAsLong() - RETENTION_NANOS);
  }

  private static StreamOrigins.Builder message(StreamOrigin origin) {
    return StreamOrigins.newBuilder()
        .setService(origin.service())
        .setSoftwareVersion(origin.softwareVersion());
  }

  /** Adds the origins that a router reported. */
  public void merge(List<StreamOrigins> reported) {
    for (StreamOrigins message : reported) {
      StreamOrigin origin = new StreamOrigin(message.getService(), message.getSoftwareVersion());
      message.getRequestsList().forEach(request -> record(request, origin));
    }
  }

  /** Returns the hash by which daemons know a request. */
  static long hash(String requestId) {
    return Hashing.komihash5_0().hashCharsToLong(requestId);
  }
}
