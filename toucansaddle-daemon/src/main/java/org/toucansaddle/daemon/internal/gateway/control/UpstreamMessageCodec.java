package org.toucansaddle.daemon.internal.gateway.control;

import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.toucansaddle.protocol.generated.UpstreamMessage;

/**
 * Encodes the latest reports of upstreams for routers, and decodes them there. Stateless and
 * thread-safe.
 */
public final class UpstreamMessageCodec {

  private UpstreamMessageCodec() {}

  /** Encodes a report with its age. */
  static UpstreamMessage encode(UpstreamRegistry.Entry entry, boolean leaving, long nowNanos) {
    UpstreamReport report = entry.report();
    long ageNanos = nowNanos - entry.receivedAtNanos();
    UpstreamMessage.Builder message =
        UpstreamMessage.newBuilder()
            .setId(report.id())
            .setService(report.service())
            .setAddress(report.address())
            .setZone(report.zone())
            .setSlots(report.slots())
            .setState(report.state().ordinal())
            .setStartedAtMillis(report.startedAtMillis())
            .setSequence(report.sequence())
            .setAgeMillis((int) TimeUnit.NANOSECONDS.toMillis(ageNanos))
            .setSoftwareVersion(report.softwareVersion())
            .setLeaving(leaving);
    report.warmUpMillis().ifPresent(message::setWarmUpMillis);
    return message.build();
  }

  /** Decodes a report; its age and whether its upstream leaves are not part of it. */
  public static UpstreamReport decode(UpstreamMessage message) {
    State[] states = State.values();
    int state = Math.min(message.getState(), states.length - 1);
    return new UpstreamReport(
        message.getId(),
        message.getService(),
        message.getAddress(),
        message.getZone(),
        message.getSlots(),
        states[state],
        message.getStartedAtMillis(),
        message.getSequence(),
        message.getSoftwareVersion(),
        message.hasWarmUpMillis()
            ? OptionalInt.of(message.getWarmUpMillis())
            : OptionalInt.empty());
  }
}
