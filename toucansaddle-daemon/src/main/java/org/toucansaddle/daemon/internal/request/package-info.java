/** Filter chain that handles callers' requests, from authentication to admission. */
package org.toucansaddle.daemon.internal.request;
