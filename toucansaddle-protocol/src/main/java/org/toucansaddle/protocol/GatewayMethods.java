package org.toucansaddle.protocol;

import io.grpc.MethodDescriptor;
import io.grpc.MethodDescriptor.MethodType;
import org.toucansaddle.protocol.generated.ChangeZoneReply;
import org.toucansaddle.protocol.generated.ChangeZoneRequest;
import org.toucansaddle.protocol.generated.FindOriginReply;
import org.toucansaddle.protocol.generated.FindOriginRequest;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.FollowerReport;
import org.toucansaddle.protocol.generated.JoinReply;
import org.toucansaddle.protocol.generated.JoinRequest;
import org.toucansaddle.protocol.generated.PlacementMessage;
import org.toucansaddle.protocol.generated.PlacementReply;
import org.toucansaddle.protocol.generated.PutDocumentReply;
import org.toucansaddle.protocol.generated.PutDocumentRequest;
import org.toucansaddle.protocol.generated.ReadDocumentReply;
import org.toucansaddle.protocol.generated.ReadDocumentRequest;

/** gRPC methods between the daemons of a gateway. Immutable and thread-safe. */
public final class GatewayMethods {

  /** Name of the gRPC service. */
  public static final String SERVICE = "toucansaddle.v1.Gateway";

  /** Exchanges router reports and fleet updates until either side ends the stream. */
  public static final MethodDescriptor<FollowerReport, FleetUpdate> FOLLOW =
      PeerMethods.descriptor(
          SERVICE,
          MethodType.BIDI_STREAMING,
          "Follow",
          FollowerReport.getDefaultInstance(),
          FleetUpdate.getDefaultInstance());

  /** Grants slots to a router's requests until either side ends the stream. */
  public static final MethodDescriptor<PlacementMessage, PlacementReply> PLACE =
      PeerMethods.descriptor(
          SERVICE,
          MethodType.BIDI_STREAMING,
          "Place",
          PlacementMessage.getDefaultInstance(),
          PlacementReply.getDefaultInstance());

  /** Stores a document if the receiver is the leader. */
  public static final MethodDescriptor<PutDocumentRequest, PutDocumentReply> PUT_DOCUMENT =
      PeerMethods.descriptor(
          SERVICE,
          MethodType.UNARY,
          "PutDocument",
          PutDocumentRequest.getDefaultInstance(),
          PutDocumentReply.getDefaultInstance());

  /** Reads the latest document if the receiver is the leader. */
  public static final MethodDescriptor<ReadDocumentRequest, ReadDocumentReply> READ_DOCUMENT =
      PeerMethods.descriptor(
          SERVICE,
          MethodType.UNARY,
          "ReadDocument",
          ReadDocumentRequest.getDefaultInstance(),
          ReadDocumentReply.getDefaultInstance());

  /** Takes an availability zone out of service or back if the receiver is the leader. */
  public static final MethodDescriptor<ChangeZoneRequest, ChangeZoneReply> CHANGE_ZONE =
      PeerMethods.descriptor(
          SERVICE,
          MethodType.UNARY,
          "ChangeZone",
          ChangeZoneRequest.getDefaultInstance(),
          ChangeZoneReply.getDefaultInstance());

  /** Requests the state of a control daemon's replica, or to join its replica set. */
  public static final MethodDescriptor<JoinRequest, JoinReply> JOIN =
      PeerMethods.descriptor(
          SERVICE,
          MethodType.UNARY,
          "Join",
          JoinRequest.getDefaultInstance(),
          JoinReply.getDefaultInstance());

  /** Asks a control daemon at which services and versions streams began. */
  public static final MethodDescriptor<FindOriginRequest, FindOriginReply> FIND_ORIGIN =
      PeerMethods.descriptor(
          SERVICE,
          MethodType.UNARY,
          "FindOrigin",
          FindOriginRequest.getDefaultInstance(),
          FindOriginReply.getDefaultInstance());

  private GatewayMethods() {}
}
