package org.toucansaddle.daemon.internal.peer;

import io.grpc.Context;
import io.grpc.Contexts;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;

/** Request headers that identify the calling daemon, and their verification. Thread-safe. */
final class PeerHeaders {

  /** The daemon that made the current call. */
  static final Context.Key<PeerIdentity> CALLER = Context.key("caller");

  private static final Metadata.Key<String> NAME = key("x-peer-name");
  private static final Metadata.Key<String> ADDRESS = key("x-peer-address");
  private static final Metadata.Key<String> INCARNATION = key("x-peer-incarnation");
  private static final Metadata.Key<String> PROOF = key("x-peer-proof");

  private PeerHeaders() {}

  private static Metadata.Key<String> key(String name) {
    return Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER);
  }

  static Metadata create(PeerIdentity self, FleetProof proof) {
    Metadata headers = new Metadata();
    headers.put(NAME, self.name());
    headers.put(ADDRESS, self.address());
    headers.put(INCARNATION, Long.toString(self.incarnation()));
    headers.put(PROOF, proof.createProof(self));
    return headers;
  }

  /** Returns an interceptor that rejects callers without a valid proof. */
  static ServerInterceptor verifyingInterceptor(FleetProof proof) {
    return new ServerInterceptor() {
      @Override
      public <I, O> ServerCall.Listener<I> interceptCall(
          ServerCall<I, O> call, Metadata headers, ServerCallHandler<I, O> next) {
        PeerIdentity caller = readCaller(headers);
        String receivedProof = headers.get(PROOF);
        if (caller == null || receivedProof == null || !proof.verify(caller, receivedProof)) {
          call.close(
              Status.UNAUTHENTICATED.withDescription(
                  "The caller is not a daemon of this fleet. Set the same daemon.fleet and"
                      + " peers.secret on all daemons."),
              new Metadata());
          return new ServerCall.Listener<>() {};
        }
        Context context = Context.current().withValue(CALLER, caller);
        return Contexts.interceptCall(context, call, headers, next);
      }
    };
  }

  private static PeerIdentity readCaller(Metadata headers) {
    String name = headers.get(NAME);
    String address = headers.get(ADDRESS);
    String incarnation = headers.get(INCARNATION);
    if (name == null || address == null || incarnation == null) {
      return null;
    }
    try {
      return new PeerIdentity(name, address, Long.parseLong(incarnation));
    } catch (NumberFormatException e) {
      return null;
    }
  }
}
