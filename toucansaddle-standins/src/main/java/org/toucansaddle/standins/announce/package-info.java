/** Periodic announcement of stand-ins to the routers. */
package org.toucansaddle.standins.announce;
