/** Experiments on real processes, each measured against a baseline. */
package org.toucansaddle.standins.experiment;
