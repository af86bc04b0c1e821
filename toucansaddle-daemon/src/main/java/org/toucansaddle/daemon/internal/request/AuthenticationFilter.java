package org.toucansaddle.daemon.internal.request;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import org.toucansaddle.daemon.internal.config.ConfigurationHolder;
import org.toucansaddle.daemon.internal.problem.Problems;
import org.toucansaddle.protocol.generated.ClientAccount;

/**
 * Finds the client account by the digest of the bearer key, and rejects requests without a known
 * key.
 *
 * <p>Keys are stored as digests only. Thread-safe.
 */
public final class AuthenticationFilter implements RequestFilter {

  /** Maximum size of request target and header fields; the usual limit of HTTP servers. */
  private static final int MAX_HEAD_BYTES = 16 * 1024;

  private static final String BEARER_PREFIX = "Bearer ";

  private final ConfigurationHolder configurationHolder;

  /** Creates a filter that reads the current configuration. */
  public AuthenticationFilter(ConfigurationHolder configurationHolder) {
    this.configurationHolder = configurationHolder;
  }

  @Override
  public void filter(CallerRequest request, FilterChain chain) {
    if (HeadSize.of(request.exchange()) > MAX_HEAD_BYTES) {
      throw Problems.headTooLong(MAX_HEAD_BYTES);
    }
    if (!configurationHolder.isConfirmed()) {
      throw Problems.notReady();
    }
    String authorization = request.header("Authorization");
    if (!authorization.startsWith(BEARER_PREFIX)) {
      throw Problems.unknownKey();
    }
    byte[] key =
        authorization.substring(BEARER_PREFIX.length()).trim().getBytes(StandardCharsets.UTF_8);
    ByteString keyDigest = ByteString.copyFrom(Digests.sha256(key));
    ClientAccount account =
        configurationHolder
            .current()
            .findAccountByKeyDigest(keyDigest)
            .orElseThrow(Problems::unknownKey);
    request.setAccount(account);
    chain.next(request);
  }
}
