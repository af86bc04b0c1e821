package org.toucansaddle.daemon.internal.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.toucansaddle.coordination.membership.Member;
import org.toucansaddle.coordination.membership.ProbeMessage;
import org.toucansaddle.protocol.generated.MemberState;
import org.toucansaddle.protocol.generated.MemberUpdate;
import org.toucansaddle.protocol.generated.Probe;

/** Converts probes to and from protobuf. Stateless and thread-safe. */
final class ProbeCodec {

  private ProbeCodec() {}

  static Probe.Builder encode(ProbeMessage message) {
    Probe.Builder out =
        Probe.newBuilder()
            .setKind(Probe.Kind.forNumber(message.kind().ordinal() + 1))
            .setSequence(message.sequence())
            .setSubject(message.subject());
    message.updates().forEach(member -> out.addUpdates(encode(member)));
    return out;
  }

  private static MemberUpdate encode(Member member) {
    return MemberUpdate.newBuilder()
        .setName(member.name())
        .setIncarnation(member.incarnation())
        .setState(MemberState.forNumber(member.state().ordinal() + 1))
        .setPeerAddress(member.address())
        .setZone(member.zone())
        .setControl(member.control())
        .build();
  }

  /** Decodes a probe, without updates of an unknown state; empty if its kind is unknown. */
  static Optional<ProbeMessage> decode(Probe in) {
    int kind = in.getKind().ordinal() - 1;
    ProbeMessage.Kind[] kinds = ProbeMessage.Kind.values();
    if (kind < 0 || kind >= kinds.length) {
      return Optional.empty();
    }
    List<Member> updates = new ArrayList<>();
    in.getUpdatesList().forEach(update -> decode(update).ifPresent(updates::add));
    return Optional.of(new ProbeMessage(kinds[kind], in.getSequence(), in.getSubject(), updates));
  }

  private static Optional<Member> decode(MemberUpdate in) {
    int state = in.getState().ordinal() - 1;
    Member.State[] states = Member.State.values();
    if (state < 0 || state >= states.length || in.getName().isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new Member(
            in.getName(),
            in.getIncarnation(),
            states[state],
            in.getPeerAddress(),
            in.getZone(),
            in.getControl()));
  }
}
