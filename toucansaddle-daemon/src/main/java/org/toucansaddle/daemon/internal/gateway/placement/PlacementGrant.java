package org.toucansaddle.daemon.internal.gateway.placement;

/** A slot that was granted to a request. Thread-safe. */
public interface PlacementGrant {

  /** Grant of a request that this router placed itself. */
  PlacementGrant NONE =
      new PlacementGrant() {
        @Override
        public void started(long millis) {
          // Nobody waits for it.
        }

        @Override
        public void ended() {
          // Nobody waits for it.
        }
      };

  /** Reports the first token, which came after this time in milliseconds. */
  void started(long millis);

  /** Gives the slot back; later calls have no effect. */
  void ended();
}
