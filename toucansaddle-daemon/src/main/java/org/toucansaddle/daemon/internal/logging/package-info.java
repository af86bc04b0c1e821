/** Logging configuration and the decision log. */
package org.toucansaddle.daemon.internal.logging;
