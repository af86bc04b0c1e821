package org.toucansaddle.daemon.internal.peer;

import io.grpc.netty.shaded.io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.netty.shaded.io.netty.handler.ssl.ClientAuth;
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Optional;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.TrustManagerFactory;
import org.toucansaddle.daemon.settings.DaemonSettings.Tls;

/**
 * Configures mutual TLS between daemons, or plain TCP if there are no TLS settings.
 *
 * <p>Immutable and thread-safe.
 */
public final class PeerTls {

  private final Optional<Tls> settings;

  /** Creates a TLS configuration; empty settings select plain TCP. */
  public PeerTls(Optional<Tls> settings) {
    this.settings = settings;
  }

  void configure(NettyServerBuilder builder) {
    if (settings.isEmpty()) {
      return;
    }
    try {
      SslContextBuilder context =
          SslContextBuilder.forServer(keyManagers(settings.get()))
              .trustManager(trustManagers(settings.get()))
              .clientAuth(ClientAuth.REQUIRE);
      builder.sslContext(GrpcSslContexts.configure(context).build());
    } catch (IOException | GeneralSecurityException e) {
      throw unusableStore(e);
    }
  }

  void configure(NettyChannelBuilder builder) {
    if (settings.isEmpty()) {
      builder.usePlaintext();
      return;
    }
    try {
      SslContextBuilder context =
          SslContextBuilder.forClient()
              .keyManager(keyManagers(settings.get()))
              .trustManager(trustManagers(settings.get()));
      builder.sslContext(GrpcSslContexts.configure(context).build());
    } catch (IOException | GeneralSecurityException e) {
      throw unusableStore(e);
    }
  }

  private static IllegalStateException unusableStore(Exception cause) {
    return new IllegalStateException(
        "The key or trust store under [peers.tls] cannot be used ("
            + cause.getMessage()
            + "). Check both paths and the password with 'keytool -list'.",
        cause);
  }

  private static KeyManagerFactory keyManagers(Tls tls)
      throws IOException, GeneralSecurityException {
    KeyManagerFactory factory =
        KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
    factory.init(loadStore(tls.keyStore(), tls.password()), tls.password().toCharArray());
    return factory;
  }

  private static TrustManagerFactory trustManagers(Tls tls)
      throws IOException, GeneralSecurityException {
    TrustManagerFactory factory =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
    factory.init(loadStore(tls.trustStore(), tls.password()));
    return factory;
  }

  private static KeyStore loadStore(Path path, String password)
      throws IOException, GeneralSecurityException {
    KeyStore store = KeyStore.getInstance("PKCS12");
    try (InputStream in = Files.newInputStream(path)) {
      store.load(in, password.toCharArray());
    }
    return store;
  }
}
