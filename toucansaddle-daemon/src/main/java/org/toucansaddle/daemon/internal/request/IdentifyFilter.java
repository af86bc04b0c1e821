package org.toucansaddle.daemon.internal.request;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import org.toucansaddle.daemon.internal.config.ConfigurationHolder;
import org.toucansaddle.daemon.internal.problem.Problems;
import org.toucansaddle.protocol.generated.ClientAccount;

/** Finds the client account by the bearer key's digest. Thread-safe. */
public final class IdentifyFilter implements RequestFilter {

  /** Longest request line and header fields, in bytes; the usual limit of HTTP servers. */
  private static final int MAX_HEAD_BYTES = 16 * 1024;

  private static final String SCHEME = "Bearer ";

  private final ConfigurationHolder holder;

  /** Creates a filter that reads the configuration in force. */
  public IdentifyFilter(ConfigurationHolder holder) {
    this.holder = holder;
  }

  @Override
  public void filter(CallerRequest request, FilterChain chain) {
    if (HeadSize.of(request.exchange()) > MAX_HEAD_BYTES) {
      throw Problems.headTooLong(MAX_HEAD_BYTES);
    }
    if (!holder.isConfirmed()) {
      throw Problems.notReady();
    }
    String authorization = request.header("Authorization");
    if (!authorization.startsWith(SCHEME)) {
      throw Problems.unknownKey();
    }
    byte[] key = authorization.substring(SCHEME.length()).trim().getBytes(StandardCharsets.UTF_8);
    ByteString digest = ByteString.copyFrom(Digests.sha256(key));
    ClientAccount account =
        holder.current().findAccountByKeyDigest(digest).orElseThrow(Problems::unknownKey);
    request.setAccount(account);
    chain.next(request);
  }
}
