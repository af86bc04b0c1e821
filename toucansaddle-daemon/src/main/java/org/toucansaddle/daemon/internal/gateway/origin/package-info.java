/** Services and software versions at which streams began, shared by all daemons of a gateway. */
package org.toucansaddle.daemon.internal.gateway.origin;
