/** Filter chain that a caller's request passes. */
package org.toucansaddle.daemon.internal.request;
