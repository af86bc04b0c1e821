/** Control daemons of a gateway: the stored document, its replicas, what routers are told. */
package org.toucansaddle.daemon.internal.gateway.control;
