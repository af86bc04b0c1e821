/** Typed errors returned to callers and operators. */
package org.toucansaddle.daemon.internal.problem;
