/** Daemons of a gateway, assembled. */
package org.toucansaddle.daemon.internal.gateway;
