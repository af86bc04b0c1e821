/** Control daemon of a gateway: document storage, replica set, and updates for the routers. */
package org.toucansaddle.daemon.internal.gateway.control;
