/**
 * A replicated log: commands accepted by a quorum of replicas survive the loss of any minority.
 *
 * <p>Transport, clock and disk are interfaces passed in, so that an embedder chooses how messages
 * travel and a test drives every failure from a seeded schedule.
 */
package org.toucansaddle.coordination.replication;
