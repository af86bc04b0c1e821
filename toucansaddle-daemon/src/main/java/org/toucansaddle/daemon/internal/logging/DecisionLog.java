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
 * Logs one line per routing or placement decision.
 *
 * <p>In text format a line is the decision and {@code key=value} pairs; in JSON each pair is a
 * field. Stateless and thread-safe.
 */
public final class DecisionLog {

  private static final Logger ROUTING = LoggerFactory.getLogger("decision.routing");
  private static final Logger PLACEMENT = LoggerFactory.getLogger("decision.placement");

  private DecisionLog() {}

  /**
   * Logs that a request was assigned a slot of an upstream.
   *
   * @param skippedAccounts number of accounts with waiting requests that were skipped
   */
  public static void routed(
      CallerRequest request, String upstream, String attempt, Reason reason, int skippedAccounts) {
    ROUTING.info(
        "routed {} {} {} {} {} {} {}",
        kv("request", request.id()),
        kv("account", request.account().getName()),
        kv("class", request.workClass().getName()),
        kv("upstream", upstream),
        kv("attempt", attempt),
        kv("reason", reason),
        kv("accounts_passed_over", skippedAccounts));
  }

  /** Logs that an attempt ended without a complete answer. */
  public static void attemptFailed(
      CallerRequest request, String upstream, String attempt, String outcome) {
    ROUTING.info(
        "attempt failed {} {} {} {}",
        kv("request", request.id()),
        kv("upstream", upstream),
        kv("attempt", attempt),
        kv("outcome", outcome));
  }

  /** Logs that a request of an account above its quota released its slot to another account. */
  public static void preempted(CallerRequest request, String upstream, String attempt) {
    ROUTING.info(
        "preempted {} {} {} {}",
        kv("request", request.id()),
        kv("account", request.account().getName()),
        kv("upstream", upstream),
        kv("attempt", attempt));
  }

  /** Logs that a request received its complete answer. */
  public static void answered(CallerRequest request, String attempt, int tokens, long millis) {
    ROUTING.info(
        "answered {} {} {} {}",
        kv("request", request.id()),
        kv("attempt", attempt),
        kv("tokens", tokens),
        kv("millis", millis));
  }

  /** Logs that a request ended with a problem response. */
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
        kv("run", problem.runState().text()),
        kv("retry_after", problem.retryAfterSeconds().orElse(0)));
  }

  /**
   * Logs that a request is predicted to miss a target, with the inputs of the prediction.
   *
   * @param target target that would be missed
   * @param waiting requests of the account that wait before it
   * @param slots mean number of slots in use by the account; empty if not measured yet
   * @param lateMillis predicted delay beyond the target, in milliseconds
   */
  public static void predictedLate(
      CallerRequest request, String target, int waiting, OptionalDouble slots, double lateMillis) {
    ROUTING.info(
        "predicted late {} {} {} {} {} {}",
        kv("request", request.id()),
        kv("pool", request.pool().text()),
        kv("target", target),
        kv("waiting_before", waiting),
        kv("mean_slots", slots.isEmpty() ? "none yet" : slots.getAsDouble()),
        kv("late_ms", Math.round(lateMillis)));
  }

  /**
   * Logs that a request waited for a slot until its target passed.
   *
   * @param slots the router's leased slots and their use, by upstream id
   */
  public static void waitTimedOut(CallerRequest request, Map<String, SlotUsage> slots) {
    ROUTING.info(
        "wait timed out {} {} {}",
        kv("request", request.id()),
        kv("pool", request.pool().text()),
        kv("slots", slots));
  }

  /** Logs the demand that a dispatcher received from a router, at debug level. */
  public static void demanded(String pool, RouterDemand demand) {
    PLACEMENT.debug(
        "demanded {} {} {} {} {}",
        kv("pool", pool),
        kv("router", demand.router()),
        kv("lease_sequence", demand.leaseSequence()),
        kv("accounts", demand.accounts()),
        kv("upstreams", demand.upstreams()));
  }

  /**
   * Logs that a placement order was sent to an upstream, or its outcome.
   *
   * @param fencing fencing number of the order
   */
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

  /**
   * Logs that a dispatcher sent a router a changed lease.
   *
   * @param gapTokens largest service gap of the pool, in tokens
   */
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
