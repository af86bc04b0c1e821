package org.toucansaddle.daemon.internal.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.util.Optional;
import org.toucansaddle.daemon.internal.sharing.PoolKey;
import org.toucansaddle.protocol.generated.ClientAccount;
import org.toucansaddle.protocol.generated.WorkClass;

/**
 * A caller's request and what the filters have found out about it.
 *
 * <p>Each filter sets its own properties, and later filters read them. Not thread-safe: one thread
 * uses the request at a time, and the filter chain passes it between threads.
 */
public final class CallerRequest {

  private final HttpServerExchange exchange;
  private final String id;
  private final long receivedAtMillis;
  private ClientAccount account;
  private WorkClass workClass;
  private PoolKey pool;
  private byte[] body = new byte[0];
  private ObjectNode json;
  private boolean streamed;
  private long digest;
  private Optional<IdempotencyClaim> claim = Optional.empty();

  /** Creates a request; {@code receivedAtMillis} is monotonic time. */
  public CallerRequest(HttpServerExchange exchange, String id, long receivedAtMillis) {
    this.exchange = exchange;
    this.id = id;
    this.receivedAtMillis = receivedAtMillis;
  }

  public HttpServerExchange exchange() {
    return exchange;
  }

  public String id() {
    return id;
  }

  public long receivedAtMillis() {
    return receivedAtMillis;
  }

  public ClientAccount account() {
    return account;
  }

  public void setAccount(ClientAccount newAccount) {
    account = newAccount;
  }

  public WorkClass workClass() {
    return workClass;
  }

  public PoolKey pool() {
    return pool;
  }

  /** Sets the work class and the pool that serves it. */
  public void setWorkClass(WorkClass newWorkClass, PoolKey newPool) {
    workClass = newWorkClass;
    pool = newPool;
  }

  public byte[] body() {
    return body;
  }

  public void setBody(byte[] newBody) {
    body = newBody;
  }

  public ObjectNode json() {
    return json;
  }

  /** Sets the parsed body of a model request and whether its answer is to be streamed. */
  public void setJson(ObjectNode newJson, boolean isStreamed) {
    json = newJson;
    streamed = isStreamed;
  }

  public boolean isStreamed() {
    return streamed;
  }

  /** Returns the digest of the content, by which repetitions of a request are recognized. */
  public long digest() {
    return digest;
  }

  public void setDigest(long newDigest) {
    digest = newDigest;
  }

  public Optional<IdempotencyClaim> claim() {
    return claim;
  }

  public void setClaim(IdempotencyClaim newClaim) {
    claim = Optional.of(newClaim);
  }

  /** Returns the deadline for the whole answer, in milliseconds of monotonic time. */
  public long deadlineMillis() {
    return receivedAtMillis + workClass.getWholeAnswerMillis();
  }

  /** Returns the deadline for the first token, in milliseconds of monotonic time. */
  public long firstTokenDeadlineMillis() {
    return receivedAtMillis + workClass.getFirstTokenMillis();
  }

  /** Returns the first value of a request header, or an empty string if it is absent. */
  public String header(String name) {
    String value = exchange.getRequestHeaders().getFirst(name);
    return value == null ? "" : value;
  }
}
