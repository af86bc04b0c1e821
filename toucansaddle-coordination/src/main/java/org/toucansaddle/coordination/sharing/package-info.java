/**
 * Fair sharing of slots: a dispatcher leases slots to routers for accounts, routers reuse them.
 *
 * <p>The dispatcher of a pool plans how many requests of each account may run at each router, so
 * that service stays equal over the fleet's backlogged accounts. A router starts its next request
 * on a slot that became free without asking. All classes are free of I/O and take the time as a
 * parameter.
 */
package org.toucansaddle.coordination.sharing;
