package org.toucansaddle.daemon.internal.relay;

import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.toucansaddle.coordination.retry.StrikeTable;
import org.toucansaddle.daemon.internal.metrics.RouterMetrics;
import org.toucansaddle.daemon.internal.request.ProblemWriter;
import org.toucansaddle.daemon.internal.request.SlotHoldTimes;
import org.toucansaddle.daemon.internal.sharing.ServiceCounters;
import org.toucansaddle.http.HttpClient;

/**
 * Dependencies shared by all relayed requests. Immutable; its components are thread-safe.
 *
 * @param client HTTP client for calls to upstreams
 * @param serviceCounters counters of the tokens served to each client account
 * @param strikes requests that were running when an upstream failed
 * @param strikeIsolation reserves upstreams for requests with strikes
 * @param retryBudgets bounds the retries of each client account and of the router
 * @param holdingTimes observed times for which requests hold a slot
 * @param problems writes problem responses
 * @param metrics request metrics
 * @param scheduler runs retries after their backoff
 * @param clock supplies monotonic milliseconds
 * @param stallMillis longest time without data from an upstream, in milliseconds
 * @param onStrike receives the digest of a request after each strike
 */
public record RelayContext(
    HttpClient client,
    ServiceCounters serviceCounters,
    StrikeTable strikes,
    StrikeIsolation strikeIsolation,
    RetryBudgets retryBudgets,
    SlotHoldTimes holdingTimes,
    ProblemWriter problems,
    RouterMetrics metrics,
    ScheduledExecutorService scheduler,
    LongSupplier clock,
    int stallMillis,
    LongConsumer onStrike) {}
