package org.toucansaddle.daemon.internal.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.gateway.relay.IoLag;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Measures the lag of all I/O threads of a worker.
 *
 * <p>A periodic task on each thread waits for its turn among the ready connections, so the lag is
 * that of a connection which became ready when the task was due. Thread-safe.
 */
final class IoLagMonitor implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(IoLagMonitor.class);

  private static final int SAMPLE_MILLIS = 100;

  private final IoLag lag;
  private final LongSupplier clock;
  private final List<Sampler> samplers = new ArrayList<>();

  /**
   * Starts to measure.
   *
   * @param clock returns nanoseconds
   * @throws IOException if there are no descriptors left
   */
  IoLagMonitor(IoLag lag, LongSupplier clock, XnioWorker worker) throws IOException {
    this.lag = lag;
    this.clock = clock;
    for (int index = 0; index < worker.getIoThreadCount(); index++) {
      samplers.add(new Sampler(worker.getIoThread(index)));
    }
    samplers.forEach(Sampler::schedule);
  }

  /** Samples the lag of one I/O thread; confined to it after the start. */
  private final class Sampler {
    private final XnioIoThread thread;
    private final SelectionTurn turn;
    private long dueAt;

    Sampler(XnioIoThread thread) throws IOException {
      this.thread = thread;
      this.turn = new SelectionTurn(thread, this::sample);
    }

    private void schedule() {
      dueAt = clock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(SAMPLE_MILLIS);
      try {
        thread.executeAfter(turn::request, SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
      } catch (RejectedExecutionException e) {
        LOG.debug("the lag of {} is no longer measured: its worker shuts down", thread.getName());
      }
    }

    private void sample() {
      long now = clock.getAsLong();
      lag.addSample(Math.max(0, now - dueAt), now);
      schedule();
    }
  }

  @Override
  public void close() {
    samplers.forEach(sampler -> sampler.turn.close());
  }
}
