/** Starts and stops the processes of a fleet on loopback. */
package org.toucansaddle.standins.fleet;
