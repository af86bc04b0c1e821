/** Command-line entry points of the stand-in upstreams, the quickstart and the experiments. */
package org.toucansaddle.standins;
