/** Which model each upstream holds: reports of the pools, the plan, and the orders. */
package org.toucansaddle.daemon.internal.placement;
