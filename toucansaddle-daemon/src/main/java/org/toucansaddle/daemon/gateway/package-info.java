/**
 * Transparent HTTP gateway: routes the requests of client accounts to self-registering upstreams
 * according to a replicated configuration document.
 */
package org.toucansaddle.daemon.gateway;
