package org.toucansaddle.daemon.internal.peer;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.toucansaddle.protocol.generated.PeerMessage;

/** Messages sent to other daemons, by kind. Thread-safe. */
public final class PeerTraffic {

  /**
   * Messages of one kind.
   *
   * @param messages number of messages
   * @param bytes their encoded size, without the headers of any protocol below
   */
  public record Volume(long messages, long bytes) {}

  private record VolumeCounters(LongAdder messages, LongAdder bytes) {}

  private final Map<PeerMessage.KindCase, VolumeCounters> sentByKind = new ConcurrentHashMap<>();

  void recordSent(PeerMessage message) {
    VolumeCounters adders =
        sentByKind.computeIfAbsent(
            message.getKindCase(), kind -> new VolumeCounters(new LongAdder(), new LongAdder()));
    adders.messages().increment();
    adders.bytes().add(message.getSerializedSize());
  }

  /** Returns what was sent by kind of message. */
  public Map<String, Volume> sentByKind() {
    Map<String, Volume> volumes = new TreeMap<>();
    sentByKind.forEach(
        (kind, adders) ->
            volumes.put(
                kind.name().toLowerCase(Locale.ROOT),
                new Volume(adders.messages().sum(), adders.bytes().sum())));
    return volumes;
  }
}
