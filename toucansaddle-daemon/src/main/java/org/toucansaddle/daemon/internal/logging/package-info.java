/** Log set-up and the decision log. */
package org.toucansaddle.daemon.internal.logging;
