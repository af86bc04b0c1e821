package org.toucansaddle.daemon.internal.gateway.control;

import java.util.List;
import org.toucansaddle.coordination.pacing.ColdAsk;
import org.toucansaddle.coordination.pacing.ColdPermit;

/** Encodes permits for cold upstreams and decodes the asks. Stateless and thread-safe. */
final class ColdPermitCodec {

  private ColdPermitCodec() {}

  static List<ColdAsk> decode(List<org.toucansaddle.protocol.generated.ColdAsk> asks) {
    return asks.stream()
        .map(
            ask ->
                new ColdAsk(
                    ask.getService(),
                    ask.getUpstream(),
                    ask.getStartedAtMillis(),
                    ask.getRequests()))
        .toList();
  }

  static List<org.toucansaddle.protocol.generated.ColdPermit> encode(List<ColdPermit> permits) {
    return permits.stream()
        .map(
            permit ->
                org.toucansaddle.protocol.generated.ColdPermit.newBuilder()
                    .setUpstream(permit.upstream())
                    .setStartedAtMillis(permit.startedAtMillis())
                    .setRequests(permit.requests())
                    .setValidMillis(permit.validMillis())
                    .setReport(permit.report())
                    .build())
        .toList();
  }
}
