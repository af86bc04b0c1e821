package org.toucansaddle.daemon.internal.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelPipe;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Runs a task of an I/O thread between two selections of its ready connections.
 *
 * <p>An I/O thread selects ready connections only when no task and no timer is due. While running
 * them takes longer than the time until the next one is due, it never does, so a task that yields
 * by a short timer can starve all connections. This task waits for the reading end of a pipe: it
 * runs as one of the ready connections, and all others get their turn before it runs again.
 *
 * <p>Confined to the I/O thread, but for the constructor and {@link #close}.
 */
final class SelectionTurn implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(SelectionTurn.class);

  private static final long FALLBACK_MILLIS = 1;

  private final XnioIoThread thread;
  private final Runnable task;
  private final ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe;
  private final ByteBuffer signal = ByteBuffer.allocateDirect(1);
  private boolean requested;
  private volatile boolean closed;

  /**
   * Creates a turn that is not requested.
   *
   * @throws IOException if the pipe cannot be created, for example for lack of descriptors
   */
  SelectionTurn(XnioIoThread thread, Runnable task) throws IOException {
    this.thread = thread;
    this.task = task;
    this.pipe = thread.createHalfDuplexPipe();
    StreamSourceChannel source = pipe.getLeftSide();
    source.getReadSetter().set(this::onReadable);
    source.resumeReads();
  }

  /** Requests one run of the task; has no effect if it is requested already or after a close. */
  void request() {
    if (requested || closed) {
      return;
    }
    requested = true;
    signal.clear();
    try {
      pipe.getRightSide().write(signal);
    } catch (IOException e) {
      LOG.warn("a turn between selections could not be requested: {}", e.getMessage());
      thread.executeAfter(this::run, FALLBACK_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void onReadable(StreamSourceChannel source) {
    signal.clear();
    try {
      if (source.read(signal) > 0) {
        run();
      }
    } catch (IOException e) {
      LOG.warn("a turn between selections could not be read: {}", e.getMessage());
      IoUtils.safeClose(source);
    }
  }

  private void run() {
    requested = false;
    task.run();
  }

  @Override
  public void close() {
    closed = true;
    IoUtils.safeClose(pipe.getRightSide());
    IoUtils.safeClose(pipe.getLeftSide());
  }
}
