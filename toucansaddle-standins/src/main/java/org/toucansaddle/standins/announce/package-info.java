/** Announces a stand-in to the routers. */
package org.toucansaddle.standins.announce;
