/** Relaying of requests: attempts at upstreams, retries, and responses to callers. */
package org.toucansaddle.daemon.internal.relay;
