/** Raft implementation of the replicated log: elections, replication, snapshots, file storage. */
package org.toucansaddle.coordination.internal.replication;
