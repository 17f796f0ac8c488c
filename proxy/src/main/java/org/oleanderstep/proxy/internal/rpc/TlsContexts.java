package org.oleanderstep.proxy.internal.rpc;

import io.grpc.netty.GrpcSslContexts;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.File;
import java.util.Optional;
import javax.net.ssl.SSLException;
import org.oleanderstep.schema.v1.TlsSettings;

/** Creates the contexts for mutual TLS between proxies. */
public final class TlsContexts {

  private TlsContexts() {}

  /** Returns the context of calls to peers; empty if TLS is disabled. */
  public static Optional<SslContext> client(TlsSettings settings) {
    if (!settings.getEnabled()) {
      return Optional.empty();
    }
    SslContextBuilder builder =
        GrpcSslContexts.forClient()
            .trustManager(new File(settings.getTrustedCertificatesFile()))
            .keyManager(
                new File(settings.getCertificateFile()), new File(settings.getPrivateKeyFile()));
    return Optional.of(build(builder));
  }

  /** Returns the context of calls from peers; empty if TLS is disabled. */
  public static Optional<SslContext> server(TlsSettings settings) {
    if (!settings.getEnabled()) {
      return Optional.empty();
    }
    SslContextBuilder builder =
        GrpcSslContexts.forServer(
                new File(settings.getCertificateFile()), new File(settings.getPrivateKeyFile()))
            .trustManager(new File(settings.getTrustedCertificatesFile()))
            .clientAuth(ClientAuth.REQUIRE);
    return Optional.of(build(builder));
  }

  private static SslContext build(SslContextBuilder builder) {
    try {
      return builder.build();
    } catch (SSLException e) {
      throw new IllegalArgumentException("the TLS settings cannot be used: " + e.getMessage(), e);
    }
  }
}
