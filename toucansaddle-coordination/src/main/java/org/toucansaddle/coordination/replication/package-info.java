/**
 * Replicated log (Raft): commands committed by a quorum survive the loss of any minority.
 *
 * <p>Transport, clock and storage are injected, so that an embedding program chooses how messages
 * are sent and a test can inject every failure deterministically from a seed.
 */
package org.toucansaddle.coordination.replication;
