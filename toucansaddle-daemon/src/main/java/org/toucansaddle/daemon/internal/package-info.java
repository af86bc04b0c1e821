/** Assembles a daemon from its parts. */
package org.toucansaddle.daemon.internal;
