/**
 * Asynchronous HTTP client over Undertow's client, with streamed responses and pooled connections.
 */
package org.toucansaddle.http;
