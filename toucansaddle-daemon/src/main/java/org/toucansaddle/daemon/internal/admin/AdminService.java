package org.toucansaddle.daemon.internal.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.CompletableFuture;

/** Executes requests to the admin interface. Thread-safe. */
@FunctionalInterface
public interface AdminService {

  /**
   * Executes a request.
   *
   * @return the answer; an error is thrown, or fails the future, as a {@code ProblemException}
   */
  CompletableFuture<ObjectNode> perform(AdminRequest request);
}
