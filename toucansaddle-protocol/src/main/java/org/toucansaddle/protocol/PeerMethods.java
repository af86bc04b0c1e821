package org.toucansaddle.protocol;

import com.google.protobuf.Message;
import io.grpc.MethodDescriptor;
import io.grpc.MethodDescriptor.MethodType;
import io.grpc.protobuf.ProtoUtils;
import org.toucansaddle.protocol.generated.FetchConfigurationReply;
import org.toucansaddle.protocol.generated.FetchConfigurationRequest;
import org.toucansaddle.protocol.generated.PeerMessage;
import org.toucansaddle.protocol.generated.ProposeReply;
import org.toucansaddle.protocol.generated.ProposeRequest;
import org.toucansaddle.protocol.generated.ReplicaProbeReply;
import org.toucansaddle.protocol.generated.ReplicaProbeRequest;

/** gRPC methods between daemons. Immutable and thread-safe. */
public final class PeerMethods {

  /** Name of the gRPC service. */
  public static final String SERVICE = "toucansaddle.v1.Peer";

  /** Stream of messages from one daemon to another; the receiver sends no messages on it. */
  public static final MethodDescriptor<PeerMessage, PeerMessage> LINK =
      descriptor(
          MethodType.CLIENT_STREAMING,
          "Link",
          PeerMessage.getDefaultInstance(),
          PeerMessage.getDefaultInstance());

  /** Proposes a command to the leader of the control replicas. */
  public static final MethodDescriptor<ProposeRequest, ProposeReply> PROPOSE =
      descriptor(
          MethodType.UNARY,
          "Propose",
          ProposeRequest.getDefaultInstance(),
          ProposeReply.getDefaultInstance());

  /** Returns the configuration changes after a revision. */
  public static final MethodDescriptor<FetchConfigurationRequest, FetchConfigurationReply>
      FETCH_CONFIGURATION =
          descriptor(
              MethodType.UNARY,
              "FetchConfiguration",
              FetchConfigurationRequest.getDefaultInstance(),
              FetchConfigurationReply.getDefaultInstance());

  /** Requests the identity of a control replica, or to be added to its replica set as a learner. */
  public static final MethodDescriptor<ReplicaProbeRequest, ReplicaProbeReply> PROBE_REPLICA =
      descriptor(
          MethodType.UNARY,
          "ProbeReplica",
          ReplicaProbeRequest.getDefaultInstance(),
          ReplicaProbeReply.getDefaultInstance());

  private PeerMethods() {}

  private static <I extends Message, O extends Message> MethodDescriptor<I, O> descriptor(
      MethodType type, String name, I request, O response) {
    return descriptor(SERVICE, type, name, request, response);
  }

  /** Returns the descriptor of a method of a service. */
  static <I extends Message, O extends Message> MethodDescriptor<I, O> descriptor(
      String service, MethodType type, String name, I request, O response) {
    return MethodDescriptor.<I, O>newBuilder()
        .setType(type)
        .setFullMethodName(MethodDescriptor.generateFullMethodName(service, name))
        .setRequestMarshaller(ProtoUtils.marshaller(request))
        .setResponseMarshaller(ProtoUtils.marshaller(response))
        .build();
  }
}
