package org.toucansaddle.standins.experiment;

/** Waits for threads. Stateless and thread-safe. */
final class Threads {

  private Threads() {}

  /** Waits until all threads have ended, or the waiting thread is interrupted. */
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
