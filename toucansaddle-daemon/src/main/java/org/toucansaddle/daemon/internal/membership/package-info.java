/** Connects the membership protocol with the links between daemons. */
package org.toucansaddle.daemon.internal.membership;
