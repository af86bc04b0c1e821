package org.toucansaddle.standins.experiment;

/** Utility methods for threads. Stateless and thread-safe. */
final class Threads {

  private Threads() {}

  /**
   * Waits until all threads have terminated, or the current thread is interrupted.
   *
   * <p>After an interrupt the interrupt status is set.
   */
  static void joinAll(Iterable<Thread> threads) {
    try {
      for (Thread thread : threads) {
        thread.join();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
