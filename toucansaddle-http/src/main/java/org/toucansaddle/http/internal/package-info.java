/** Implementation of the HTTP client. */
package org.toucansaddle.http.internal;
