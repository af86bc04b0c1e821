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
 * What a daemon does for other daemons.
 *
 * <p>Called from network threads, several at a time; must not block.
 */
public interface PeerService {

  /** Takes a message of another daemon. */
  void onMessage(PeerIdentity from, PeerMessage message);

  /** Proposes a command if this daemon leads the control replicas. */
  CompletableFuture<ProposeReply> propose(ProposeRequest request);

  /** Returns configuration changes. */
  CompletableFuture<FetchConfigurationReply> fetchConfiguration(FetchConfigurationRequest request);

  /** Returns the identity of this control replica and takes requests to join. */
  CompletableFuture<ReplicaProbeReply> probeReplica(ReplicaProbeRequest request);
}
