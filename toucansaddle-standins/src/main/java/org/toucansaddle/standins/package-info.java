/** Stand-ins for upstreams, and the load and experiment tool. */
package org.toucansaddle.standins;
