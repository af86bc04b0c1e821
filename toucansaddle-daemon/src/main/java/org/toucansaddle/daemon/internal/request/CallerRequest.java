package org.toucansaddle.daemon.internal.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.util.Optional;
import org.toucansaddle.daemon.internal.sharing.PoolKey;
import org.toucansaddle.protocol.generated.ClientAccount;
import org.toucansaddle.protocol.generated.WorkClass;

/**
 * A caller's request on its way through the filters, which fill it in one after the other.
 *
 * <p>Used by one thread at a time; the filter chain hands it over.
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

  /** Creates a request; {@code receivedAtMillis} is monotonic. */
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

  /** Sets the class of work and the pool that serves it. */
  public void setWorkClass(WorkClass newClass, PoolKey newPool) {
    workClass = newClass;
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

  /** Sets the parsed body of a model request. */
  public void setJson(ObjectNode newJson, boolean isStreamed) {
    json = newJson;
    streamed = isStreamed;
  }

  public boolean isStreamed() {
    return streamed;
  }

  /** Returns the digest of the content, by which repeated requests are known. */
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

  /** Returns when the whole answer is due, in monotonic milliseconds. */
  public long deadlineMillis() {
    return receivedAtMillis + workClass.getWholeAnswerMillis();
  }

  /** Returns when the first token is due, in monotonic milliseconds. */
  public long firstTokenDeadlineMillis() {
    return receivedAtMillis + workClass.getFirstTokenMillis();
  }

  /** Returns a request header, or an empty string. */
  public String header(String name) {
    String value = exchange.getRequestHeaders().getFirst(name);
    return value == null ? "" : value;
  }
}
