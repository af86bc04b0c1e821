/** Control daemon and router of a gateway, assembled from their parts. */
package org.toucansaddle.daemon.internal.gateway;
