/**
 * Fair sharing of slots: a dispatcher leases slots to routers, which assign them to requests.
 *
 * <p>The dispatcher of a pool plans how many requests of each account may run at each router, so
 * that service stays equal over the fleet's backlogged accounts. A router assigns a free slot to
 * its next request without contacting the dispatcher. No class does I/O, and the time is always a
 * parameter.
 */
package org.toucansaddle.coordination.sharing;
