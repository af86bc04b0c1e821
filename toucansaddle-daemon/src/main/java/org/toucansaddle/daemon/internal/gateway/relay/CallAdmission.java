package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.server.HttpServerExchange;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.internal.gateway.placement.PlacementClient.Asked;
import org.toucansaddle.daemon.internal.gateway.placement.PlacementGrant;
import org.toucansaddle.daemon.internal.gateway.relay.AccountTally.Fate;
import org.toucansaddle.daemon.internal.gateway.relay.AdmissionControl.Admission;
import org.toucansaddle.daemon.internal.gateway.relay.AdmissionControl.AdmissionRequest;
import org.toucansaddle.daemon.internal.gateway.relay.RequestHead.PromptPart;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Selection;
import org.toucansaddle.daemon.internal.gateway.routing.AccountShares.Charge;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;
import org.toucansaddle.protocol.generated.PlacementAnswer;
import org.toucansaddle.protocol.generated.PlacementAnswer.Refusal;
import org.toucansaddle.protocol.generated.PlacementAsk;
import org.toucansaddle.protocol.generated.SharedPart;

/**
 * Admission of a call and its first upstream.
 *
 * <p>For engines, a control daemon decides about both. If it does not, and for other upstreams,
 * this router does; it always selects the later upstreams of a call. Confined to the call's I/O
 * thread.
 */
final class CallAdmission {

  private final RelayContext context;
  private final RelayedCall call;
  private final HttpServerExchange exchange;
  private final UpstreamChoice choice;
  private Asked asked = () -> {};
  private PlacementGrant grant = PlacementGrant.NONE;
  private boolean admitted;
  private Optional<Charge> charge = Optional.empty();
  private boolean begun;

  CallAdmission(
      RelayContext context, RelayedCall call, HttpServerExchange exchange, UpstreamChoice choice) {
    this.context = context;
    this.call = call;
    this.exchange = exchange;
    this.choice = choice;
  }

  /** Has the call continue with a selected upstream, a refusal, or its own selection. */
  void begin() {
    context.admission().recordArrival(admissionRequest());
    recordFate(Fate.ASKED);
    if (!choice.isPlaced()) {
      call.selectFirst();
      return;
    }
    if (!context.placement().accepts()) {
      choice.recordColdEngines();
      call.selectFirst();
      return;
    }
    asked = context.placement().ask(createAsk(), this::onAnyThread);
  }

  /**
   * Admits a call, or returns its refusal; a call that was admitted stays so if its first upstream
   * is not reached.
   *
   * @param selected upstream that this router selected; empty if none has room
   * @param usable upstreams that accept the request
   */
  Optional<ErrorResponse> admit(Optional<Selection> selected, List<Upstream> usable) {
    if (admitted || usable.isEmpty()) {
      return admitted ? Optional.empty() : choice.refuseForRegion();
    }
    Admission admission =
        context.admission().admit(admissionRequest(), selected, () -> choice.refuseForLoad(usable));
    admitted = admission.refusal().isEmpty();
    charge = admission.charge();
    return admission.refusal();
  }

  private AdmissionRequest admissionRequest() {
    return new AdmissionRequest(
        call.route(),
        call.head(),
        call.request().account(),
        context.state().tokensPerSecond(call.service(), call.request().view().tokensPerSecond()),
        call.remainingMillis());
  }

  private PlacementAsk.Builder createAsk() {
    RequestHead head = call.head();
    Route route = call.route();
    PlacementAsk.Builder ask =
        PlacementAsk.newBuilder()
            .setService(call.service())
            .setAccount(call.request().account())
            .setPromptTokens(head.promptTokens())
            .setOutputTokens(head.expectedOutputTokens())
            .setTargetMillis(route.targetMillis())
            .setRemainingMillis((int) Math.max(0, call.remainingMillis()))
            .setReturned(head.isLikelyRetry(route))
            .addAllExcluded(unusableUpstreams());
    for (PromptPart part : head.sharedParts()) {
      ask.addSharedParts(SharedPart.newBuilder().setId(part.id()).setTokens(part.tokens()));
    }
    return ask;
  }

  /** Returns the ids of the ready upstreams that this router does not use at the moment. */
  private Set<String> unusableUpstreams() {
    Set<String> ids = new HashSet<>();
    List<Upstream> ready = context.state().upstreams().ready(call.service());
    List<Upstream> usable = choice.usable().stream().filter(choice::takesRequest).toList();
    if (ready.size() > usable.size()) {
      ready.forEach(upstream -> ids.add(upstream.id()));
      usable.forEach(upstream -> ids.remove(upstream.id()));
    }
    return ids;
  }

  private void onAnyThread(Optional<PlacementAnswer> answer) {
    if (Thread.currentThread() == exchange.getIoThread()) {
      onAnswer(answer);
    } else {
      exchange.getIoThread().execute(() -> onAnswer(answer));
    }
  }

  private void onAnswer(Optional<PlacementAnswer> answer) {
    boolean granted = answer.map(a -> a.getGrant() != 0).orElse(false);
    if (granted) {
      int memoryTokens = answer.get().getReadTokens() + call.head().expectedOutputTokens();
      grant = context.placement().grant(answer.get(), memoryTokens);
    }
    if (call.isEnded()) {
      takeGrant().ended();
    } else if (granted) {
      continueAt(answer.get());
    } else if (answer.isEmpty() || answer.get().getRefusal() == Refusal.UNDECIDED) {
      call.selectFirst();
    } else {
      call.fail(ErrorResponse.refusedByPlacement(answer.get()));
    }
  }

  private void continueAt(PlacementAnswer answer) {
    Optional<Selection> selection = choice.selectPlaced(answer);
    admitted = true;
    if (selection.isPresent()) {
      charge = context.admission().recordAdmission(admissionRequest(), selection.get());
      call.sendFirst(selection.get());
    } else {
      takeGrant().ended();
      call.selectFirst();
    }
  }

  /** Returns the grant of the attempt that is made now. */
  PlacementGrant takeGrant() {
    PlacementGrant taken = grant;
    grant = PlacementGrant.NONE;
    return taken;
  }

  /** Records that an upstream has produced the first token. */
  void recordBegun() {
    if (!begun) {
      begun = true;
      recordFate(Fate.BEGUN);
    }
  }

  /** Withdraws an ask that was not answered; called at the end of the call. */
  void end(String outcome) {
    asked.cancel();
    if (!begun) {
      Fate fate = Fate.ofOutcome(outcome);
      recordFate(fate);
      settle(fate);
    }
  }

  /**
   * Withdraws the charge of a request that has not begun, unless its caller left an upstream that
   * was at work on it.
   */
  private void settle(Fate fate) {
    if (charge.isEmpty()) {
      return;
    }
    if (fate != Fate.ABANDONED || call.attempts() == 0) {
      context.admission().withdraw(charge.get());
    }
    if (fate == Fate.NO_ROOM) {
      context.admission().recordTurnedAway(admissionRequest());
    }
  }

  private void recordFate(Fate fate) {
    AdmissionRequest request = admissionRequest();
    if (request.countsTowardsShare()) {
      context.tally().record(request.account(), fate, request.head().totalWorkTokens());
    }
  }
}
