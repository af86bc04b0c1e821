/** Typed errors that callers and operators see. */
package org.toucansaddle.daemon.internal.problem;
