package org.toucansaddle.daemon.internal.request;

import com.google.protobuf.ByteString;
import io.undertow.io.IoCallback;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.UUID;
import org.toucansaddle.coordination.membership.Member;
import org.toucansaddle.daemon.internal.control.ControlClient;
import org.toucansaddle.daemon.internal.control.FleetDirectory;
import org.toucansaddle.daemon.internal.peer.PeerIdentity;
import org.toucansaddle.daemon.internal.problem.Problem;
import org.toucansaddle.daemon.internal.problem.Problems;
import org.toucansaddle.protocol.generated.Claim;
import org.toucansaddle.protocol.generated.ClaimOutcome;
import org.toucansaddle.protocol.generated.ClaimResult;
import org.toucansaddle.protocol.generated.Command;
import org.toucansaddle.protocol.generated.CommandResult;
import org.toucansaddle.protocol.generated.UpstreamKind;

/**
 * Commits a claim before a non-idempotent call goes on, and answers a call that was claimed before.
 *
 * <p>Invariant: of all calls with one key, at most one passes this filter, unless the one before
 * gave its claim back unrun. Thread-safe.
 */
public final class ClaimFilter implements RequestFilter {

  private static final Duration CLAIM_TIMEOUT = Duration.ofMillis(2_500);
  private static final Duration OUTCOME_TIMEOUT = Duration.ofSeconds(10);
  private static final long MAX_REFUTATIONS = 500;
  private static final int FULL_RETRY_SECONDS = 60;
  private static final int MAX_KEY_LENGTH = 200;
  private static final int MAX_STORED_BYTES = 256 * 1024;
  private static final HttpString REPLAYED = new HttpString("X-Replayed");

  private final PeerIdentity self;
  private final ControlClient control;
  private final FleetDirectory directory;

  /** Creates a filter of the router {@code self}. */
  public ClaimFilter(PeerIdentity self, ControlClient control, FleetDirectory directory) {
    this.self = self;
    this.control = control;
    this.directory = directory;
  }

  @Override
  public void filter(CallerRequest request, FilterChain chain) {
    boolean needsClaim =
        request.workClass().getKind() == UpstreamKind.SERVICE
            && !request.workClass().getIdempotent();
    if (!needsClaim) {
      chain.next(request);
      return;
    }
    String key = request.header("Idempotency-Key");
    if (key.isEmpty() || key.length() > MAX_KEY_LENGTH) {
      throw Problems.keyRequired();
    }
    Claim claim = claim(request, key);
    Command command =
        Command.newBuilder().setCommandId(UUID.randomUUID().toString()).setClaim(claim).build();
    control
        .propose(command, CLAIM_TIMEOUT)
        .whenComplete(
            (result, failure) ->
                request
                    .exchange()
                    .getIoThread()
                    .execute(() -> decided(request, chain, command, result, failure)));
  }

  private Claim claim(CallerRequest request, String key) {
    HttpServerExchange exchange = request.exchange();
    byte[] method = exchange.getRequestMethod().toString().getBytes(StandardCharsets.UTF_8);
    byte[] path = exchange.getRequestPath().getBytes(StandardCharsets.UTF_8);
    return Claim.newBuilder()
        .setAccount(request.account().getNumber())
        .setKey(ByteString.copyFrom(Digests.sha256(key.getBytes(StandardCharsets.UTF_8))))
        .setDigest(ByteString.copyFrom(Digests.sha256(method, path, request.body())))
        .setRouter(self.name())
        .setRouterIncarnation(self.incarnation())
        .build();
  }

  private void decided(
      CallerRequest request,
      FilterChain chain,
      Command command,
      CommandResult result,
      Throwable failure) {
    Claim claim = command.getClaim();
    if (failure != null) {
      new CommittedClaim(claim, command.getCommandId()).release();
      chain.fail(request, Problems.claimUnavailable(1).problem());
      return;
    }
    ClaimResult decision = result.getClaim();
    switch (decision.getState()) {
      case GRANTED -> {
        request.setClaim(new CommittedClaim(claim, command.getCommandId()));
        request.exchange().dispatch(SameThreadExecutor.INSTANCE, () -> chain.next(request));
      }
      case DONE -> replay(request, decision.getOutcome());
      case RUNNING -> chain.fail(request, running(claim, decision));
      case MISMATCH -> chain.fail(request, Problems.keyMismatch().problem());
      case LOST -> chain.fail(request, Problems.outcomeLost().problem());
      case FULL -> chain.fail(request, Problems.claimsFull(FULL_RETRY_SECONDS).problem());
      default -> chain.fail(request, Problems.claimUnavailable(1).problem());
    }
  }

  /** A claim whose router died has no outcome and never will. */
  private Problem running(Claim claim, ClaimResult decision) {
    boolean ownerLives =
        directory
            .findMember(decision.getRouter())
            .filter(Member::isLive)
            .filter(member -> !restarted(member, decision.getRouterIncarnation()))
            .isPresent();
    if (ownerLives) {
      return Problems.stillRunning(1).problem();
    }
    Claim lost =
        claim.toBuilder()
            .setRouter(decision.getRouter())
            .setRouterIncarnation(decision.getRouterIncarnation())
            .build();
    new CommittedClaim(lost, "").lost();
    return Problems.outcomeLost().problem();
  }

  /** A refuted suspicion raises an incarnation by one; a restart raises it by its clock. */
  private static boolean restarted(Member member, long claimedBy) {
    return member.incarnation() - claimedBy > MAX_REFUTATIONS;
  }

  private void replay(CallerRequest request, ClaimOutcome outcome) {
    HttpServerExchange exchange = request.exchange();
    exchange.setStatusCode(outcome.getHttpStatus());
    exchange.getResponseHeaders().put(REPLAYED, "true");
    if (!outcome.getContentType().isEmpty()) {
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, outcome.getContentType());
    }
    ByteBuffer body = outcome.getBody().asReadOnlyByteBuffer();
    exchange.getResponseSender().send(body, IoCallback.END_EXCHANGE);
  }

  /** A claim in the replicated log; its end is proposed until it is committed. Thread-safe. */
  private final class CommittedClaim implements ClaimedCall {
    private final Claim claim;
    private final String commandId;

    CommittedClaim(Claim claim, String commandId) {
      this.claim = claim;
      this.commandId = commandId;
    }

    @Override
    public void release() {
      record(ClaimOutcome.newBuilder().setReleased(true));
    }

    @Override
    public void lost() {
      record(ClaimOutcome.newBuilder().setUnknown(true));
    }

    @Override
    public void completed(ClaimOutcome.Builder outcome) {
      boolean tooLong = outcome.getBody().size() > MAX_STORED_BYTES;
      record(tooLong ? ClaimOutcome.newBuilder().setUnknown(true) : outcome);
    }

    private void record(ClaimOutcome.Builder outcome) {
      outcome
          .setAccount(claim.getAccount())
          .setKey(claim.getKey())
          .setRouter(claim.getRouter())
          .setRouterIncarnation(claim.getRouterIncarnation())
          .setClaimCommandId(commandId);
      propose(
          Command.newBuilder()
              .setCommandId(UUID.randomUUID().toString())
              .setClaimOutcome(outcome)
              .build());
    }

    private void propose(Command command) {
      control
          .propose(command, OUTCOME_TIMEOUT)
          .whenComplete(
              (result, failure) -> {
                if (failure != null) {
                  propose(command);
                }
              });
    }
  }
}
