package org.toucansaddle.daemon.internal.gateway.control;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.daemon.internal.gateway.origin.StreamOrigin;
import org.toucansaddle.protocol.generated.ServiceVersion;

/** Encodes software versions with their ages, since clocks differ. Stateless and thread-safe. */
final class VersionCodec {

  private VersionCodec() {}

  /**
   * Encodes versions.
   *
   * @param versions the versions, with the time of the last report of each, in nanoseconds
   */
  static List<ServiceVersion> encode(Map<StreamOrigin, Long> versions, long nowNanos) {
    return versions.entrySet().stream()
        .map(
            entry ->
                ServiceVersion.newBuilder()
                    .setService(entry.getKey().service())
                    .setSoftwareVersion(entry.getKey().softwareVersion())
                    .setAgeMillis(ageMillis(entry.getValue(), nowNanos))
                    .build())
        .toList();
  }

  private static int ageMillis(long reportedAtNanos, long nowNanos) {
    return (int) Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - reportedAtNanos));
  }
}
