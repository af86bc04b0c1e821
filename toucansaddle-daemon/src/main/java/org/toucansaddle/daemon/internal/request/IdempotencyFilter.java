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
 * Commits a claim to the replicated log before a non-idempotent call proceeds, and answers a
 * repeated call from the outcome of the first one.
 *
 * <p>Invariant: of all calls with one idempotency key, at most one passes this filter, unless the
 * earlier one released its claim without having run. Thread-safe.
 */
public final class IdempotencyFilter implements RequestFilter {

  private static final Duration CLAIM_TIMEOUT = Duration.ofMillis(2_500);
  private static final Duration OUTCOME_TIMEOUT = Duration.ofSeconds(10);

  /** Incarnation difference up to which a member counts as the same process. */
  private static final long MAX_REFUTATIONS = 500;

  private static final int CLAIMS_FULL_RETRY_SECONDS = 60;
  private static final int MAX_KEY_LENGTH = 200;
  private static final int MAX_STORED_BODY_BYTES = 256 * 1024;
  private static final HttpString REPLAYED = new HttpString("X-Replayed");

  private final PeerIdentity self;
  private final ControlClient control;
  private final FleetDirectory directory;

  /** Creates a filter that claims calls in the name of the router {@code self}. */
  public IdempotencyFilter(PeerIdentity self, ControlClient control, FleetDirectory directory) {
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
      throw Problems.idempotencyKeyRequired();
    }
    Claim claim = createClaim(request, key);
    Command command =
        Command.newBuilder().setCommandId(UUID.randomUUID().toString()).setClaim(claim).build();
    control
        .propose(command, CLAIM_TIMEOUT)
        .whenComplete(
            (result, failure) ->
                request
                    .exchange()
                    .getIoThread()
                    .execute(() -> handleDecision(request, chain, command, result, failure)));
  }

  private Claim createClaim(CallerRequest request, String key) {
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

  private void handleDecision(
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
      case RUNNING -> chain.fail(request, problemOfRunning(claim, decision));
      case MISMATCH -> chain.fail(request, Problems.idempotencyKeyReused().problem());
      case LOST -> chain.fail(request, Problems.outcomeUnknown().problem());
      case FULL -> chain.fail(request, Problems.claimsFull(CLAIMS_FULL_RETRY_SECONDS).problem());
      default -> chain.fail(request, Problems.claimUnavailable(1).problem());
    }
  }

  /**
   * Returns the problem for a call whose first attempt has no outcome yet.
   *
   * <p>A claim whose router died will never get an outcome, so its outcome is marked unknown.
   */
  private Problem problemOfRunning(Claim claim, ClaimResult decision) {
    boolean isClaimantLive =
        directory
            .findMember(decision.getRouter())
            .filter(Member::isLive)
            .filter(member -> !hasRestarted(member, decision.getRouterIncarnation()))
            .isPresent();
    if (isClaimantLive) {
      return Problems.stillRunning(1).problem();
    }
    Claim lost =
        claim.toBuilder()
            .setRouter(decision.getRouter())
            .setRouterIncarnation(decision.getRouterIncarnation())
            .build();
    new CommittedClaim(lost, "").markOutcomeUnknown();
    return Problems.outcomeUnknown().problem();
  }

  /**
   * Returns whether a member was restarted after it made a claim.
   *
   * <p>A member that refutes a suspicion increases its incarnation by one. A restart derives the
   * incarnation from the clock, which increases it by far more.
   */
  private static boolean hasRestarted(Member member, long claimIncarnation) {
    return member.incarnation() - claimIncarnation > MAX_REFUTATIONS;
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

  /**
   * A claim in the replicated log. Its outcome is proposed again until it is committed.
   * Thread-safe.
   */
  private final class CommittedClaim implements IdempotencyClaim {
    private final Claim claim;
    private final String commandId;

    CommittedClaim(Claim claim, String commandId) {
      this.claim = claim;
      this.commandId = commandId;
    }

    @Override
    public void release() {
      proposeOutcome(ClaimOutcome.newBuilder().setReleased(true));
    }

    @Override
    public void markOutcomeUnknown() {
      proposeOutcome(ClaimOutcome.newBuilder().setUnknown(true));
    }

    @Override
    public void recordOutcome(ClaimOutcome.Builder outcome) {
      boolean tooLong = outcome.getBody().size() > MAX_STORED_BODY_BYTES;
      proposeOutcome(tooLong ? ClaimOutcome.newBuilder().setUnknown(true) : outcome);
    }

    private void proposeOutcome(ClaimOutcome.Builder outcome) {
      outcome
          .setAccount(claim.getAccount())
          .setKey(claim.getKey())
          .setRouter(claim.getRouter())
          .setRouterIncarnation(claim.getRouterIncarnation())
          .setClaimCommandId(commandId);
      proposeUntilCommitted(
          Command.newBuilder()
              .setCommandId(UUID.randomUUID().toString())
              .setClaimOutcome(outcome)
              .build());
    }

    private void proposeUntilCommitted(Command command) {
      control
          .propose(command, OUTCOME_TIMEOUT)
          .whenComplete(
              (result, failure) -> {
                if (failure != null) {
                  proposeUntilCommitted(command);
                }
              });
    }
  }
}
