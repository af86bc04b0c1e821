/**
 * Experiments that run a fleet of real processes and measure it, some of them against a baseline.
 */
package org.toucansaddle.standins.experiment;
