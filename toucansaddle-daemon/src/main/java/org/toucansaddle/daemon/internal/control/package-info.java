/** Control replica: state machine, replicated log, commands, claims. */
package org.toucansaddle.daemon.internal.control;
