package org.toucansaddle.daemon.internal.relay;

import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.toucansaddle.coordination.retry.StrikeTable;
import org.toucansaddle.daemon.internal.metrics.RouterMetrics;
import org.toucansaddle.daemon.internal.request.HoldingTimes;
import org.toucansaddle.daemon.internal.request.ProblemWriter;
import org.toucansaddle.daemon.internal.sharing.ServiceCounters;
import org.toucansaddle.http.HttpClient;

/**
 * What all relayed requests share. Immutable; its parts are thread-safe.
 *
 * @param client client for upstreams
 * @param service counters of service
 * @param strikes requests that upstreams died of
 * @param struckUpstreams upstreams where a struck request runs
 * @param budgets retry budgets
 * @param holdingTimes how long requests hold a slot
 * @param problems writer of problems
 * @param metrics counters
 * @param timers runs retries after their backoff
 * @param clock monotonic milliseconds
 * @param stallMillis longest silence of an upstream, in milliseconds
 * @param onQuarantine told the digest of a request that reached the limit of strikes
 */
public record RelayContext(
    HttpClient client,
    ServiceCounters serviceCounters,
    StrikeTable strikes,
    StrikeIsolation strikeIsolation,
    RetryBudgets retryBudgets,
    HoldingTimes holdingTimes,
    ProblemWriter problems,
    RouterMetrics metrics,
    ScheduledExecutorService scheduler,
    LongSupplier clock,
    int stallMillis,
    LongConsumer onQuarantine) {}
