/** Assembly of a daemon from its components. */
package org.toucansaddle.daemon.internal;
