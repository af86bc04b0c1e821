/** Sharing of upstream slots between routers: dispatchers, leases and the router's pools. */
package org.toucansaddle.daemon.internal.sharing;
