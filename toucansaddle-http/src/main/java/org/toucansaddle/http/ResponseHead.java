package org.toucansaddle.http;

import io.undertow.util.HeaderMap;

/**
 * The valid head of a response. Immutable by convention: nobody modifies the fields.
 *
 * @param status status code, 200 to 599
 * @param fields header fields; {@code Content-Length} occurs at most once
 * @param framing how the fields mark the end of the body, also if there is none
 * @param persistent whether the server keeps the connection open after the response
 */
public record ResponseHead(
    int status, HeaderMap fields, ResponseFraming framing, boolean persistent) {}
