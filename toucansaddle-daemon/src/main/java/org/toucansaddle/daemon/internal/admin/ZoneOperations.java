package org.toucansaddle.daemon.internal.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.toucansaddle.coordination.zones.ZoneOrder;
import org.toucansaddle.coordination.zones.ZoneOrders;
import org.toucansaddle.daemon.gateway.ControlGateway;
import org.toucansaddle.daemon.internal.problem.ProblemException;

/** Admin operations that take availability zones out of service and back. Thread-safe. */
public final class ZoneOperations implements AdminService {

  /** Collection of the paths. */
  public static final String COLLECTION = "zones";

  /** Same as the time limit of commands in {@link AdminOperations}. */
  private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(8);

  private final ControlGateway control;

  /** Creates the operations; {@code control} carries out the orders. */
  public ZoneOperations(ControlGateway control) {
    this.control = control;
  }

  @Override
  public CompletableFuture<ObjectNode> perform(AdminRequest request) {
    return switch (request.method()) {
      case "GET" -> control.zones(CONTROL_TIMEOUT).thenApply(ZoneOperations::toJson);
      case "PUT" -> order(request, false);
      case "DELETE" -> order(request, true);
      default ->
          throw new ProblemException(
              AdminProblems.unknownPath(request.method() + " " + request.collection()));
    };
  }

  private CompletableFuture<ObjectNode> order(AdminRequest request, boolean outOfService) {
    ZoneOrder order;
    try {
      order = new ZoneOrder(request.name(), outOfService);
    } catch (IllegalArgumentException e) {
      throw new ProblemException(AdminProblems.badField("zone", e.getMessage()));
    }
    return control
        .order(order, CONTROL_TIMEOUT)
        .thenApply(zones -> checkIncluded(order, zones))
        .thenApply(ZoneOperations::toJson);
  }

  private static Optional<ZoneOrders> checkIncluded(ZoneOrder order, Optional<ZoneOrders> zones) {
    if (zones.isPresent() && !zones.get().includes(order)) {
      throw new ProblemException(AdminProblems.tooManyZones());
    }
    return zones;
  }

  private static ObjectNode toJson(Optional<ZoneOrders> zones) {
    ZoneOrders current =
        zones.orElseThrow(() -> new ProblemException(AdminProblems.zonesUnconfirmed()));
    ObjectNode node = JsonNodeFactory.instance.objectNode().put("revision", current.revision());
    ArrayNode names = node.putArray("out_of_service");
    current.outOfService().stream().sorted().forEach(names::add);
    return node;
  }
}
