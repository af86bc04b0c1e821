package org.toucansaddle.daemon.internal.placement;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.protocol.generated.PlacementOrder;

/** Sends orders as {@code POST /v1/orders}. Thread-safe. */
public final class HttpOrderClient implements OrderClient {

  /** Longest time until an order is answered. */
  static final Duration TIMEOUT = Duration.ofSeconds(1);

  private static final int OK = 200;
  private static final int CONFLICT = 409;

  private final HttpClient client;

  /** Creates a client that does not own the HTTP client. */
  public HttpOrderClient(HttpClient client) {
    this.client = client;
  }

  @Override
  public CompletableFuture<Reply> send(String address, PlacementOrder order, long fencing) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("action", order.getAction().name().toLowerCase(Locale.ROOT));
    body.put("model", order.getModel());
    body.put("incarnation", order.getUpstreamIncarnation());
    body.put("fencing", fencing);
    HttpRequest call = HttpRequest.post(address, "/v1/orders", body.toString()).withNewConnection();
    return client.send(call, TIMEOUT).thenApply(reply -> reply(reply.status()));
  }

  private static Reply reply(int status) {
    if (status == OK) {
      return Reply.ACCEPTED;
    }
    return status == CONFLICT ? Reply.FENCED : Reply.REFUSED;
  }
}
