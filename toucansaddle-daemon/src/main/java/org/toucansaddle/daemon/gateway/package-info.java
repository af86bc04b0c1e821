/**
 * Transparent HTTP gateway: routes requests of client accounts to upstreams that announce
 * themselves, by a replicated configuration document.
 */
package org.toucansaddle.daemon.gateway;
