/** Attempts at upstreams and answers to callers. */
package org.toucansaddle.daemon.internal.relay;
