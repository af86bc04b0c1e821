/** Runs the membership protocol over the connections between daemons. */
package org.toucansaddle.daemon.internal.membership;
