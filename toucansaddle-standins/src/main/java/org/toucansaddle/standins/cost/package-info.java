/** One router process of a gateway with the parties around it, for measuring what requests cost. */
package org.toucansaddle.standins.cost;
