package org.toucansaddle.daemon.internal.gateway;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.gateway.relay.IoLag;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** Measures the lag of all I/O threads of a worker with a periodic task on each. Thread-safe. */
final class IoLagMonitor {

  private static final Logger LOG = LoggerFactory.getLogger(IoLagMonitor.class);

  private static final int SAMPLE_MILLIS = 100;

  private final IoLag lag;
  private final LongSupplier clock;

  /** Creates a monitor; {@code clock} returns nanoseconds. */
  IoLagMonitor(IoLag lag, LongSupplier clock) {
    this.lag = lag;
    this.clock = clock;
  }

  /** Starts to sample; the tasks end with the worker. */
  void start(XnioWorker worker) {
    for (int index = 0; index < worker.getIoThreadCount(); index++) {
      schedule(worker.getIoThread(index));
    }
  }

  private void schedule(XnioIoThread thread) {
    long dueAt = clock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(SAMPLE_MILLIS);
    try {
      thread.executeAfter(() -> sample(thread, dueAt), SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      LOG.debug("the lag of {} is no longer measured: its worker shuts down", thread.getName());
    }
  }

  private void sample(XnioIoThread thread, long dueAt) {
    long now = clock.getAsLong();
    lag.addSample(Math.max(0, now - dueAt), now);
    schedule(thread);
  }
}
