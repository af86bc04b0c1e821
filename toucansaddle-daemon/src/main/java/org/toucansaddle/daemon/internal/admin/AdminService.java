package org.toucansaddle.daemon.internal.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.CompletableFuture;

/** Performs operators' calls. Thread-safe. */
@FunctionalInterface
public interface AdminService {

  /**
   * Performs a call.
   *
   * @return the answer, or a {@code ProblemException}
   */
  CompletableFuture<ObjectNode> perform(AdminRequest call);
}
