package org.toucansaddle.daemon.internal;

import io.undertow.Undertow;
import java.io.IOException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Starts the threads that requests are served on. */
public final class IoThreads {

  private IoThreads() {}

  /**
   * Starts I/O threads.
   *
   * @throws IllegalStateException if the system refuses them, for example for want of descriptors
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
