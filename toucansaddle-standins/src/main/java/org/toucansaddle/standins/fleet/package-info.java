/** Fleets of router and upstream processes on loopback, for experiments and demonstrations. */
package org.toucansaddle.standins.fleet;
