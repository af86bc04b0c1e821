/**
 * Asynchronous HTTP client over Undertow's client, with streamed answers and pooled connections.
 */
package org.toucansaddle.http;
