package org.toucansaddle.daemon.internal;

import io.undertow.Undertow;
import java.io.IOException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Starts the I/O threads that serve requests. Stateless and thread-safe. */
public final class IoThreads {

  private IoThreads() {}

  /**
   * Starts a worker with I/O threads.
   *
   * @throws IllegalStateException if the system cannot create them, for example because file
   *     descriptors are exhausted
   */
  public static XnioWorker start(int count) {
    try {
      return Xnio.getInstance(Undertow.class.getClassLoader())
          .createWorker(
              OptionMap.builder()
                  .set(Options.WORKER_IO_THREADS, count)
                  .set(Options.WORKER_TASK_CORE_THREADS, 1)
                  .set(Options.WORKER_TASK_MAX_THREADS, 1)
                  .set(Options.WORKER_NAME, "requests")
                  .getMap());
    } catch (IOException e) {
      throw new IllegalStateException(
          "The daemon could not start its I/O threads ("
              + e.getMessage()
              + "). Check the limit on open files, for example with ulimit -n.",
          e);
    }
  }
}
