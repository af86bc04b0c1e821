package org.toucansaddle.daemon.internal.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A parsed request to the admin interface. Immutable as long as {@code body} is not modified.
 *
 * @param method HTTP method
 * @param collection first segment of the path, such as {@code classes}
 * @param name rest of the path, such as the name of an item; empty if there is none
 * @param body JSON body; an empty object if there is none
 */
public record AdminRequest(String method, String collection, String name, ObjectNode body) {}
