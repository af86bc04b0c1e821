package org.toucansaddle.daemon.internal.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * An operator's call. Immutable by agreement: nobody changes {@code body}.
 *
 * @param method HTTP method
 * @param collection what it is about, such as {@code classes}
 * @param name name of one item, or empty
 * @param body JSON body, empty if there is none
 */
public record AdminRequest(String method, String collection, String name, ObjectNode body) {}
