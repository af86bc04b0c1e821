package org.toucansaddle.daemon.internal.peer;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.toucansaddle.protocol.generated.PeerMessage;

/** Counters of the messages sent to other daemons, by kind. Thread-safe. */
public final class PeerTraffic {

  /**
   * Volume of the messages of one kind.
   *
   * @param messages number of messages
   * @param bytes their total encoded size, without the headers of the underlying protocols
   */
  public record Volume(long messages, long bytes) {}

  private record VolumeCounters(LongAdder messages, LongAdder bytes) {}

  private final Map<PeerMessage.KindCase, VolumeCounters> sentByKind = new ConcurrentHashMap<>();

  void recordSent(PeerMessage message) {
    VolumeCounters counters =
        sentByKind.computeIfAbsent(
            message.getKindCase(), kind -> new VolumeCounters(new LongAdder(), new LongAdder()));
    counters.messages().increment();
    counters.bytes().add(message.getSerializedSize());
  }

  /** Returns the volume sent so far, by kind of message in lower case. */
  public Map<String, Volume> sentByKind() {
    Map<String, Volume> volumes = new TreeMap<>();
    sentByKind.forEach(
        (kind, counters) ->
            volumes.put(
                kind.name().toLowerCase(Locale.ROOT),
                new Volume(counters.messages().sum(), counters.bytes().sum())));
    return volumes;
  }
}
