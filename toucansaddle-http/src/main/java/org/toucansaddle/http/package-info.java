/**
 * Asynchronous HTTP client over XNIO that accepts only valid responses, with streaming and pooled
 * connections.
 */
package org.toucansaddle.http;
