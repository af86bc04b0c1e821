package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.Repetition;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.gateway.WeightedService;
import org.toucansaddle.daemon.internal.gateway.relay.AdmissionControl.AdmissionRequest;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Reason;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Selection;
import org.toucansaddle.daemon.internal.gateway.routing.AccountShares;

/** Tests of {@link AdmissionControl} with simulated load, without network. */
public class AdmissionControlTest {

  private static final double CAPACITY_TOKENS_PER_SECOND = 300_000;
  private static final int TARGET_MILLIS = 1_000;
  private static final int TIMEOUT_MILLIS = 15_000;
  private static final int STEP_MILLIS = 10;

  private static final Route ROUTE =
      new Route(
          "recon",
          "h",
          "/",
          Repetition.STREAM,
          TIMEOUT_MILLIS,
          TARGET_MILLIS,
          400,
          1,
          List.of(new WeightedService("llm", 1)),
          2,
          false,
          true);

  private AtomicLong clockNanos;
  private AdmissionControl admission;

  @BeforeMethod
  public void createAdmission() {
    clockNanos = new AtomicLong(TimeUnit.SECONDS.toNanos(10));
    admission = new AdmissionControl(new AccountShares(clockNanos::get));
  }

  private static AdmissionRequest admissionRequest(String account, int prompt, int leftMillis) {
    RequestHead head =
        new RequestHead(
            "r", "POST", "h", "/", "", leftMillis, "k", prompt, 400, 400, "", "", List.of());
    return new AdmissionRequest(ROUTE, head, account, CAPACITY_TOKENS_PER_SECOND, leftMillis);
  }

  private static AdmissionRequest admissionRequest(String account) {
    return admissionRequest(account, 12_000, TIMEOUT_MILLIS);
  }

  private static Selection selection(double aheadMillis, double waitMillis, int toRead) {
    return new Selection(null, aheadMillis, waitMillis, toRead, Reason.PREFIX);
  }

  private Optional<ErrorResponse> submit(AdmissionRequest request, Selection selection) {
    admission.recordArrival(request);
    return admission
        .admit(request, Optional.of(selection), () -> ErrorResponse.notRun("upstreams-busy", "", 1))
        .refusal();
  }

  /** Submits requests of each account at its rate; returns the admitted number per account. */
  private int[] submitAtRates(int seconds, double[] perSecond, Selection selection) {
    int[] admitted = new int[perSecond.length];
    double[] due = new double[perSecond.length];
    for (int at = 0; at < seconds * 1_000; at += STEP_MILLIS) {
      for (int i = 0; i < due.length; i++) {
        for (due[i] += perSecond[i] * STEP_MILLIS / 1_000; due[i] >= 1; due[i]--) {
          admitted[i] += submit(admissionRequest("a" + i), selection).isEmpty() ? 1 : 0;
        }
      }
      clockNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS));
    }
    return admitted;
  }

  @Test
  public void shouldAdmitAllRequestsWhileEnginesHaveCapacity() {
    int[] admitted = submitAtRates(10, new double[] {10, 1}, selection(50, 300, 7_000));
    assertThat(admitted[0] + admitted[1]).isBetween(108, 110);
  }

  @Test
  public void shouldAdmitSmallAccountsInFullBesideOverloadingAccount() {
    submitAtRates(5, new double[] {200, 2, 1}, selection(400, 600, 7_000));
    int[] admitted = submitAtRates(10, new double[] {200, 2, 1}, selection(400, 600, 7_000));
    assertThat(admitted[1]).isBetween(19, 21);
    assertThat(admitted[2]).isBetween(9, 11);
    assertThat(admitted[0]).isBetween(100, 700);
  }

  /** Guards against an account above its share that takes its refusals for a failing service. */
  @Test
  public void shouldRefuseAccountAboveItsShareAsSuchAndAskItToReturnWithinTarget() {
    submitAtRates(5, new double[] {200}, selection(400, 600, 7_000));
    int refused = 0;
    for (int i = 0; i < 100; i++) {
      Optional<ErrorResponse> refusal = submit(admissionRequest("a0"), selection(400, 600, 7_000));
      if (refusal.isPresent()) {
        refused++;
        assertThat(refusal.get().status()).isEqualTo(429);
        assertThat(refusal.get().type()).isEqualTo("above-share");
        assertThat(refusal.get().retryAfterMillis()).isBetween(100L, TARGET_MILLIS / 2L);
      }
    }
    assertThat(refused).isPositive();
  }

  @Test
  public void shouldAdmitLongPromptWhenQueueIsEmpty() {
    assertThat(submit(admissionRequest("a0", 54_000, TIMEOUT_MILLIS), selection(20, 2_400, 54_000)))
        .isEmpty();
  }

  @Test
  public void shouldRefuseRequestThatCannotMeetItsTargetAfterLossOfEngines() {
    Optional<ErrorResponse> refusal =
        submit(admissionRequest("a0"), selection(1_500, 1_800, 7_000));
    assertThat(refusal.orElseThrow().type()).isEqualTo("target-cannot-be-met");
    assertThat(refusal.orElseThrow().status()).isEqualTo(503);
  }

  @Test
  public void shouldAdmitRetryThatMissesItsTarget() {
    AdmissionRequest cameBack = admissionRequest("a0", 12_000, TIMEOUT_MILLIS - 1_000);
    assertThat(submit(cameBack, selection(1_500, 1_800, 7_000))).isEmpty();
  }

  /** Guards against a full pool that is shared by who asks most often. */
  @Test
  public void shouldRefuseHotAccountForItsShareWhenNoUpstreamHasRoom() {
    int[] refusedForRoom = new int[2];
    for (int at = 0; at < 10_000; at += STEP_MILLIS) {
      for (int request = 0; request < 8; request++) {
        refusedForRoom[0] += submitToFullPool("hot", request == 0) ? 1 : 0;
      }
      if (at % 100 == 0) {
        refusedForRoom[1] += submitToFullPool("small", true) ? 1 : 0;
      }
      clockNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS));
    }
    assertThat(refusedForRoom[0]).as("of 8,000 requests of the hot account").isLessThan(2_000);
    assertThat(refusedForRoom[1]).isZero();
  }

  /** Returns whether a request is refused for want of room; a slot is free for some of them. */
  private boolean submitToFullPool(String account, boolean slotFree) {
    AdmissionRequest request = admissionRequest(account, 1_000, TIMEOUT_MILLIS);
    admission.recordArrival(request);
    return admission
        .admit(
            request,
            slotFree ? Optional.of(selection(50, 100, 500)) : Optional.empty(),
            () -> ErrorResponse.notRun("upstreams-busy", "", 1))
        .refusal()
        .filter(refusal -> refusal.type().equals("upstreams-busy"))
        .isPresent();
  }
}
