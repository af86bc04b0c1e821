/** Dispatchers and the router's pools of slots. */
package org.toucansaddle.daemon.internal.sharing;
