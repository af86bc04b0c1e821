package org.toucansaddle.daemon.internal.logging;

import static net.logstash.logback.argument.StructuredArguments.kv;

import java.util.Map;
import java.util.OptionalDouble;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.sharing.Lease;
import org.toucansaddle.coordination.sharing.RouterDemand;
import org.toucansaddle.coordination.sharing.SlotAssignment.Reason;
import org.toucansaddle.coordination.sharing.SlotUsage;
import org.toucansaddle.daemon.internal.problem.Problem;
import org.toucansaddle.daemon.internal.request.CallerRequest;
import org.toucansaddle.protocol.generated.PlacementOrder;

/**
 * Logs one line for each routing or placement decision.
 *
 * <p>As text a line is a verb and {@code key=value} pairs; as JSON each pair is a field. Stateless
 * and thread-safe.
 */
public final class DecisionLog {

  private static final Logger ROUTING = LoggerFactory.getLogger("decision.routing");
  private static final Logger PLACEMENT = LoggerFactory.getLogger("decision.placement");

  private DecisionLog() {}

  /** A request was given a slot of an upstream. */
  public static void routed(
      CallerRequest request, String upstream, String attempt, Reason reason, int passedOver) {
    ROUTING.info(
        "routed {} {} {} {} {} {} {}",
        kv("request", request.id()),
        kv("account", request.account().getName()),
        kv("class", request.workClass().getName()),
        kv("upstream", upstream),
        kv("attempt", attempt),
        kv("reason", reason),
        kv("accounts_passed_over", passedOver));
  }

  /** An attempt ended without a whole answer. */
  public static void attemptFailed(
      CallerRequest request, String upstream, String attempt, String outcome) {
    ROUTING.info(
        "attempt failed {} {} {} {}",
        kv("request", request.id()),
        kv("upstream", upstream),
        kv("attempt", attempt),
        kv("outcome", outcome));
  }

  /** A request of an account above its quota gave up its slot for another account. */
  public static void preempted(CallerRequest request, String upstream, String attempt) {
    ROUTING.info(
        "preempted {} {} {} {}",
        kv("request", request.id()),
        kv("account", request.account().getName()),
        kv("upstream", upstream),
        kv("attempt", attempt));
  }

  /** A request got its whole answer. */
  public static void answered(CallerRequest request, String attempt, int tokens, long millis) {
    ROUTING.info(
        "answered {} {} {} {}",
        kv("request", request.id()),
        kv("attempt", attempt),
        kv("tokens", tokens),
        kv("millis", millis));
  }

  /** A request ended with a problem. */
  public static void refused(CallerRequest request, Problem problem) {
    String account = request.account() == null ? "" : request.account().getName();
    String workClass = request.workClass() == null ? "" : request.workClass().getName();
    ROUTING.info(
        "refused {} {} {} {} {} {} {}",
        kv("request", request.id()),
        kv("account", account),
        kv("class", workClass),
        kv("status", problem.status()),
        kv("type", problem.type()),
        kv("run", problem.run().text()),
        kv("retry_after", problem.retryAfterSeconds().orElse(0)));
  }

  /** A request was judged too late; names what decided it. */
  public static void predictedLate(
      CallerRequest request, String what, int waiting, OptionalDouble slots, double late) {
    ROUTING.info(
        "judged late {} {} {} {} {} {}",
        kv("request", request.id()),
        kv("pool", request.pool().text()),
        kv("target", what),
        kv("waiting_before", waiting),
        kv("mean_slots", slots.isEmpty() ? "none yet" : slots.getAsDouble()),
        kv("late_ms", Math.round(late)));
  }

  /** A request waited for a slot until its target passed; names what the router holds. */
  public static void waitTimedOut(CallerRequest request, Map<String, SlotUsage> slots) {
    ROUTING.info(
        "waited in vain {} {} {}",
        kv("request", request.id()),
        kv("pool", request.pool().text()),
        kv("slots", slots));
  }

  /** A router told a dispatcher what it needs; logged for debugging only. */
  public static void demanded(String pool, RouterDemand demand) {
    PLACEMENT.debug(
        "demanded {} {} {} {} {}",
        kv("pool", pool),
        kv("router", demand.router()),
        kv("lease_sequence", demand.leaseSequence()),
        kv("accounts", demand.accounts()),
        kv("upstreams", demand.upstreams()));
  }

  /** An upstream was told what to hold, or answered that order. */
  public static void ordered(PlacementOrder order, long fencing, String outcome) {
    PLACEMENT.info(
        "ordered {} {} {} {} {} {}",
        kv("upstream", order.getUpstream()),
        kv("action", order.getAction()),
        kv("model", order.getModel()),
        kv("from_pool", order.getFromPool()),
        kv("fencing", fencing),
        kv("outcome", outcome));
  }

  /** A dispatcher changed what a router may use. */
  public static void leased(String pool, Lease lease, double gapTokens) {
    PLACEMENT.info(
        "leased {} {} {} {} {} {} {}",
        kv("pool", pool),
        kv("router", lease.router()),
        kv("sequence", lease.sequence()),
        kv("slots", lease.slots()),
        kv("quotas", lease.quotas()),
        kv("wanted", lease.contended()),
        kv("service_gap", Math.round(gapTokens)));
  }
}
