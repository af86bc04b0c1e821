package org.toucansaddle.daemon.internal.peer;

import java.util.concurrent.CompletableFuture;
import org.toucansaddle.protocol.generated.FetchConfigurationReply;
import org.toucansaddle.protocol.generated.FetchConfigurationRequest;
import org.toucansaddle.protocol.generated.PeerMessage;
import org.toucansaddle.protocol.generated.ProposeReply;
import org.toucansaddle.protocol.generated.ProposeRequest;
import org.toucansaddle.protocol.generated.ReplicaProbeReply;
import org.toucansaddle.protocol.generated.ReplicaProbeRequest;

/**
 * Operations that a daemon serves to other daemons.
 *
 * <p>Called concurrently on network threads, so implementations must be thread-safe and must not
 * block.
 */
public interface PeerService {

  /** Handles a message of another daemon. */
  void onMessage(PeerIdentity from, PeerMessage message);

  /** Proposes a command if this daemon leads the control replicas. */
  CompletableFuture<ProposeReply> propose(ProposeRequest request);

  /** Returns the configuration changes after the requested revision. */
  CompletableFuture<FetchConfigurationReply> fetchConfiguration(FetchConfigurationRequest request);

  /** Returns the identity of this daemon's control replica and handles join requests. */
  CompletableFuture<ReplicaProbeReply> probeReplica(ReplicaProbeRequest request);
}
