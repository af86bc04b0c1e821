/** Control replicas: replicated log, state machine, and clients that follow the configuration. */
package org.toucansaddle.daemon.internal.control;
